"""Moves of playbacks from one node to another while they play."""
