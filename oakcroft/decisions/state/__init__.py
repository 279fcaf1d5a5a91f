"""What a front promises on disk and takes up again."""
