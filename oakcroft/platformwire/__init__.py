"""Codecs of the platform's protocol: bytes in, events out, bounded, without I/O or clock."""
