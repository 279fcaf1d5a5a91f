"""Which connections count as leading to the process at which a node's sessions stand; no sockets."""

from __future__ import annotations

import pytest

from oakcroft.decisions.sessions.node_identity import DEATH_NS, ConnectionEnd, NodeIdentity

NOW = 0
"""A time in ns."""


def identity_with(known: str, beside: str, *, can_be_proven: bool) -> NodeIdentity[str]:
    """Returns the identity of a node with a connection to the known process, and one that came up beside it."""
    identity = NodeIdentity[str](can_be_proven=can_be_proven)
    identity.opened(known)
    identity.opened(beside)
    return identity


@pytest.mark.parametrize("can_be_proven", [False, True])
def test_what_comes_on_a_connection_beside_a_silent_one_is_no_sign_of_life(can_be_proven: bool) -> None:
    """Guards against a process that has taken the address of one that hangs, and answers in its place."""
    identity = identity_with("old", "new", can_be_proven=can_be_proven)
    assert not identity.data_received("new")
    assert identity.process_of("new") > identity.process_of("old")


def test_a_message_on_a_session_of_the_known_process_proves_a_connection() -> None:
    """Guards against sessions cut off at a node that goes on sending on another connection."""
    identity = identity_with("old", "new", can_be_proven=True)
    on_old, on_new = identity.process_of("old"), identity.process_of("new")
    assert not identity.session_named("new", on_new)
    assert identity.session_named("new", on_old)
    assert identity.data_received("new")
    assert on_new <= identity.known_process


def test_a_session_of_a_new_process_does_not_prove_its_later_connections() -> None:
    """Guards against viewers never told (seed 7): a replaced node's next connection had a session of its own process."""
    identity = NodeIdentity[str](can_be_proven=True)
    identity.opened("old")
    identity.ended("old", ConnectionEnd.BROKEN, NOW)
    identity.opened("first")
    session_process = identity.process_of("first")
    identity.opened("second")
    identity.ended("first", ConnectionEnd.IN_ORDER, NOW)
    assert not identity.session_named("second", session_process)
    assert not identity.data_received("second")


def test_a_connection_that_follows_on_a_break_has_to_be_proven() -> None:
    """Guards against a new process that is taken for the one whose connections were reset at its death."""
    identity = NodeIdentity[str](can_be_proven=True)
    identity.opened("old")
    session_process = identity.process_of("old")
    identity.ended("old", ConnectionEnd.BROKEN, NOW)
    identity.opened("new")
    assert not identity.data_received("new")
    assert identity.session_named("new", session_process)


def test_an_end_in_order_amid_breaks_is_one_more_break() -> None:
    """Guards against a death whose last connection ends as if it had been answered."""
    identity = identity_with("retired", "open", can_be_proven=True)
    identity.session_named("open", identity.process_of("retired"))
    identity.ended("open", ConnectionEnd.BROKEN, NOW)
    identity.ended("retired", ConnectionEnd.IN_ORDER, NOW)
    identity.opened("new")
    assert not identity.data_received("new")


def test_a_connection_after_an_end_in_order_leads_to_the_known_process() -> None:
    """Guards against sessions cut off at nodes whose connections are closed here for want of descriptors."""
    identity = NodeIdentity[str](can_be_proven=True)
    identity.opened("old")
    identity.ended("old", ConnectionEnd.IN_ORDER, NOW)
    identity.opened("new")
    assert identity.data_received("new")


def test_a_break_that_other_connections_outlive_changes_nothing() -> None:
    """Guards against sessions cut off for a single reset."""
    identity = identity_with("old", "new", can_be_proven=False)
    identity.data_received("old")
    identity.ended("old", ConnectionEnd.BROKEN, NOW)
    assert identity.data_received("new")
    assert not identity.may_have_died(identity.known_process, NOW + DEATH_NS)


def test_an_end_in_order_amid_breaks_of_an_unproven_process_is_one_more_break() -> None:
    """Guards against viewers never told (seed 18): what follows an unproven process that has died is yet another one."""
    identity = NodeIdentity[str](can_be_proven=True)
    identity.opened("first")
    identity.ended("first", ConnectionEnd.BROKEN, NOW)
    identity.opened("retired")
    identity.opened("open")
    unproven = identity.process_of("open")
    identity.ended("open", ConnectionEnd.BROKEN, NOW)
    identity.ended("retired", ConnectionEnd.IN_ORDER, NOW)
    identity.opened("new")
    assert identity.process_of("new") > unproven


def test_each_of_two_replacements_in_a_row_is_a_process_of_its_own() -> None:
    """Guards against sessions at a process between two others that are never released."""
    identity = NodeIdentity[str](can_be_proven=True)
    identity.opened("first")
    first = identity.process_of("first")
    identity.ended("first", ConnectionEnd.BROKEN, NOW)
    identity.opened("second")
    second = identity.process_of("second")
    identity.ended("second", ConnectionEnd.BROKEN, NOW)
    identity.opened("third")
    assert first < second < identity.process_of("third")
    identity.known_process_lost()
    assert identity.known_process == second
    assert not identity.data_received("third")
    identity.known_process_lost()
    assert identity.data_received("third")


def test_a_session_handed_over_later_is_not_at_the_process_of_the_connections() -> None:
    """Guards against viewers never told (seed 27): a set-up came to a new process before sessions of a former one."""
    identity = NodeIdentity[str](can_be_proven=True)
    identity.opened("new")
    assert identity.insert_former_process()
    assert not identity.data_received("new")
    assert identity.session_named("new", identity.known_process)
    assert identity.data_received("new")


def test_a_process_after_the_death_of_the_known_one_has_a_number_of_its_own() -> None:
    """Guards against viewers never told (seed 12): sessions of an unproven process without connections die as well."""
    identity = identity_with("old", "beside", can_be_proven=True)
    unproven = identity.process_of("beside")
    identity.ended("beside", ConnectionEnd.IN_ORDER, NOW)
    identity.ended("old", ConnectionEnd.BROKEN, NOW)
    identity.opened("new")
    assert identity.process_of("new") > unproven
