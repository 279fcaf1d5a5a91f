"""Playbacks that leave their node while they play."""
