"""Which connections count as leading to the process at which a node's sessions stand; no sockets."""

from __future__ import annotations

import pytest

from oakcroft.decisions.sessions.node_identity import DEATH_NS, ConnectionEnd, NodeIdentity

BEFORE, OPENED, LATER = 1, 2, 3
"""Times in ns."""


def identity_with(known: str, beside: str, *, can_be_proven: bool) -> NodeIdentity[str]:
    """Returns the identity of a node with a known connection, and one that came up beside it."""
    identity = NodeIdentity[str](can_be_proven=can_be_proven)
    identity.opened(known, BEFORE)
    identity.opened(beside, OPENED)
    return identity


@pytest.mark.parametrize("can_be_proven", [False, True])
def test_what_comes_on_a_connection_beside_a_silent_one_is_no_sign_of_life(can_be_proven: bool) -> None:
    """Guards against a process that has taken the address of one that hangs, and answers in its place."""
    identity = identity_with("old", "new", can_be_proven=can_be_proven)
    assert not identity.data_received("new")
    assert identity.unknown_since == OPENED


def test_a_message_on_an_earlier_session_proves_a_connection() -> None:
    """Guards against sessions cut off at a node that goes on sending on another connection."""
    identity = identity_with("old", "new", can_be_proven=True)
    assert not identity.session_named("new", LATER)
    assert identity.session_named("new", BEFORE)
    assert identity.data_received("new")


def test_a_connection_that_follows_on_a_break_has_to_be_proven() -> None:
    """Guards against a new process that is taken for the one whose connections were reset at its death."""
    identity = NodeIdentity[str](can_be_proven=True)
    identity.opened("old", BEFORE)
    identity.ended("old", ConnectionEnd.BROKEN, BEFORE)
    identity.opened("new", OPENED)
    assert not identity.data_received("new")
    assert identity.session_named("new", BEFORE)


def test_an_end_in_order_amid_breaks_is_one_more_break() -> None:
    """Guards against a death whose last connection ends as if it had been answered."""
    identity = NodeIdentity[str](can_be_proven=True)
    for connection in ("retired", "open"):
        identity.opened(connection, BEFORE)
        identity.session_named(connection, 0)
    identity.ended("open", ConnectionEnd.BROKEN, OPENED)
    identity.ended("retired", ConnectionEnd.IN_ORDER, OPENED)
    identity.opened("new", LATER)
    assert not identity.data_received("new")


def test_a_connection_after_an_end_in_order_is_known() -> None:
    """Guards against sessions cut off at nodes whose connections are closed here for want of descriptors."""
    identity = NodeIdentity[str](can_be_proven=True)
    identity.opened("old", BEFORE)
    identity.ended("old", ConnectionEnd.IN_ORDER, OPENED)
    identity.opened("new", LATER)
    assert identity.data_received("new")


def test_a_break_that_other_connections_outlive_changes_nothing() -> None:
    """Guards against sessions cut off for a single reset."""
    identity = identity_with("old", "new", can_be_proven=False)
    identity.data_received("old")
    identity.ended("old", ConnectionEnd.BROKEN, OPENED)
    assert identity.data_received("new")
    assert not identity.may_have_died(OPENED + DEATH_NS)
