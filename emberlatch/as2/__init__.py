"""AS2 partners (RFC 4130): messages and receipts, a front for what they send and a carrier for what they get.

An extra, `emberlatch[as2]`: nothing of it is imported where no partner speaks AS2.
"""
