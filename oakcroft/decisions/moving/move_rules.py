"""Which playbacks may move at all, and how; this follows from the six rules alone.

A move needs a second set-up of a playback that plays.

- Paid (rule 2): never moves, whatever happens to its node. The first set-up has run, and a second one would be
  charged again.
- Keyed (rule 2): moves only while the nodes that share the key still recognise it, counted from the first
  set-up, and only to those nodes; elsewhere or later a second set-up would count as a new one.
- Free: always moves.
- Seats (rule 5): a playback and its copy take two. If a seat is left, the copy is set up first. At the limit
  the move waits for a seat, and breaks before it makes only when the notice runs out, since a short gap is
  better than an end.
- Tries (rule 6): the set-up of the copy is a further try of its playback and counts in the retry budget.
- Players: a player that has not announced that it can be moved stays and finishes where it is.
"""

from __future__ import annotations

from enum import Enum

from oakcroft.interface import Effect, KeyScope, Node, Plan


class MoveMethod(Enum):
    """How a playback may move now."""

    MAKE_BEFORE_BREAK = "make before break"
    BREAK_BEFORE_MAKE = "break before make"
    WAIT_FOR_SEAT = "wait for a seat"
    STAY = "stay"


class StayReason(Enum):
    """Why a playback stays."""

    PAID = "it is paid at set-up"
    KEY_EXPIRED = "its key is no longer recognised"
    PLAYER_NOT_MOVABLE = "its player cannot be moved"


def reason_to_stay(
    plan: Plan, set_up_at: int, now: int, longest_setup: int, is_movable: bool
) -> StayReason | None:
    """Returns why a playback must stay where it is; None if it may move. Times in ns.

    A keyed playback must be set up again before its key expires.
    """
    if plan.effect is Effect.PAID:
        return StayReason.PAID
    if plan.effect is Effect.KEYED and now + longest_setup - set_up_at >= plan.key_ttl_ns:
        return StayReason.KEY_EXPIRED
    return None if is_movable else StayReason.PLAYER_NOT_MOVABLE


def move_method(plan: Plan, seats_taken: int, notice_left: int, setup_time: int) -> MoveMethod:
    """Returns how a playback that may move does so now. Times in ns.

    `seats_taken`: seats of its title and plan, its own included. `setup_time`: time that a break and a new
    set-up need.
    """
    if not plan.seats or seats_taken < plan.seats:
        return MoveMethod.MAKE_BEFORE_BREAK
    return MoveMethod.WAIT_FOR_SEAT if notice_left > setup_time else MoveMethod.BREAK_BEFORE_MAKE


def may_target(plan: Plan, source: Node, target: Node) -> bool:
    """Whether a node may be the target as far as the key goes; admission control decides the rest."""
    if target is source:
        return False
    if plan.effect is not Effect.KEYED:
        return plan.effect is Effect.FREE
    is_in_scope = {
        KeyScope.ALL: True,
        KeyScope.ZONE: target.zone == source.zone,
        KeyScope.CELL: target.cell == source.cell,
    }
    return is_in_scope[plan.key_scope]


def is_confined_to_zone(plan: Plan) -> bool:
    """Whether the key confines a copy to the source's zone or cell, so that no other zone is searched."""
    return plan.effect is Effect.KEYED and plan.key_scope is not KeyScope.ALL
