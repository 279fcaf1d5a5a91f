"""State that survives crashes: one SQLite file for each front end, written by group commits."""
