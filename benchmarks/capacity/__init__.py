"""Capacity at the size that is coming: targets, derived load, measured slopes, and the page made from them."""
