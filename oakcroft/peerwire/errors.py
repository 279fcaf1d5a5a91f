"""Errors of the peer protocol's codecs."""

from __future__ import annotations


class MessageError(Exception):
    """A message is invalid or does not fit; the error's text is a short reason that dropped messages are counted by."""
