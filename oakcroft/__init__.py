"""oakcroft decides who plays, where and at what quality."""

__version__ = "0.2.0"
