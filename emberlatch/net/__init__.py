"""HTTP/1.1 on sockets: the server for clients, calls to targets, discovery, and notifications.

This package encodes, decodes and transmits. The decisions are made in `emberlatch.core`,
`emberlatch.admission` and `emberlatch.directory`.
"""
