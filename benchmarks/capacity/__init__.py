"""Capacity at the target size: targets, derived load, measured slopes, and the page that is generated from them."""
