"""Codes of node lists in the simulator's protocol; all others are in `oakcroft/terms.py`."""

from __future__ import annotations

from oakcroft.interface import Listing, ListKind

LISTINGS = {0: Listing.GONE, 1: Listing.READY, 2: Listing.DRAINING}
LIST_KINDS = {0: ListKind.CHANGES, 1: ListKind.WHOLE, 2: ListKind.KEPT, 3: ListKind.FAILED}
