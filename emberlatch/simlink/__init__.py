"""Connects the decision module to the simulator: decoder, encoder, and the process that hosts the instances.

The protocol is binary. A frame has a header, records of a fixed size, and a tail with data of variable size.
Records refer to data in the tail by offset and size.
"""
