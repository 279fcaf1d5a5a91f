"""Runtime shared by all kinds of front ends: clock, event queue, logs and garbage collection."""
