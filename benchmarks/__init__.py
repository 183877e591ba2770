"""Measurement commands, most of which compare with a baseline of the same run. They are not tests."""
