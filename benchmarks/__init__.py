"""Benchmarks of speed and size, compared within one run. Not part of CI."""
