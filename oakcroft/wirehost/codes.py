"""Codes of node lists in the simulator's protocol; all its other codes are in `oakcroft/terms.py`."""

from __future__ import annotations

from oakcroft.interface import NodeListKind, NodeStatus

NODE_STATUSES_BY_WIRE_CODE = {0: NodeStatus.GONE, 1: NodeStatus.READY, 2: NodeStatus.DRAINING}
NODE_LIST_KINDS_BY_WIRE_CODE = {
    0: NodeListKind.CHANGES,
    1: NodeListKind.WHOLE,
    2: NodeListKind.KEPT,
    3: NodeListKind.FAILED,
}
