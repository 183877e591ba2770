"""The decision module behind the simulator's binary protocol: decoder, encoder, and the hosting process.

A frame has a header, records of a fixed size, and a tail with data that records refer to by offset and size.
"""
