"""Measurements: speeds and sizes, as ratios in one run. Not part of CI."""
