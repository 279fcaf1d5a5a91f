"""Codecs of the platform's protocol: bytes in, messages out, with bounded buffers and without I/O or a clock."""
