"""Exchange of messages and receipts with AS2 partners (RFC 4130).

The front end receives the messages of partners; the carrier sends messages to them. The package needs the
extra `emberlatch[as2]` and is imported only if the configuration has AS2 partners.
"""
