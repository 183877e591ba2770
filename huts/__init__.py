"""A whole ingest and dispatch service round emberlatch's decisions: one program for all machines.

Names come from mountain huts and trails; docs/system/names.md gives the field's terms.
"""
