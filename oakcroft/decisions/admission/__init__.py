"""Who is let in, how fast, and what happens to the rest."""
