"""Decisions of the program beside the module: no I/O, no clock of their own, whole nanoseconds."""
