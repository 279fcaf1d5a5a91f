"""Errors of the peers' wire."""

from __future__ import annotations


class MessageError(Exception):
    """A message that is not taken; its text is a reason of one word or two, to be counted by."""
