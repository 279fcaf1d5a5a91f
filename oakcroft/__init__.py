"""oakcroft decides who plays, where and at what quality."""
