"""Who may stay at the door: decisions about connections of clients, without sockets or clocks."""

from emberlatch.admission.door import Door, Guest

__all__ = ["Door", "Guest"]
