"""State that survives crashes: one SQLite file a front, written by group commits."""
