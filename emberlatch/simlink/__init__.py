"""The decision module on the simulator's wire: its encoding, and the process that hosts instances."""
