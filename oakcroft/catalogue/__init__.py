"""The catalogue's file format: what it may say, read quickly and checked whole."""
