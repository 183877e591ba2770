"""A complete ingest and dispatch service built on emberlatch's decisions: one program for all machines."""
