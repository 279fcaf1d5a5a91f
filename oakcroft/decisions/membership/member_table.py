"""Table of members: the state of each, since when, and the changes to report.

Every state change of a known member goes through `MemberTable.transition`, which also queues it for dissemination. The
table is bounded: when it is full, a failed or left member is removed, or the new member is not added.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from oakcroft.decisions.membership.dissemination import UpdateQueue
from oakcroft.decisions.membership.member import MemberState, MemberUpdate
from oakcroft.decisions.membership.messages import Address
from oakcroft.decisions.membership.suspicion import Suspicion
from oakcroft.interface import SECOND

MAX_MEMBERS = 1_024
MAX_FORMER_ADDRESSES = 256
"""Addresses of removed members that are still pinged from time to time."""

FAILED_RETENTION = 600 * SECOND
LEFT_RETENTION = 86_400 * SECOND
RETENTION = {MemberState.FAILED: FAILED_RETENTION, MemberState.LEFT: LEFT_RETENTION}
"""How long a member that is no longer present stays in the table."""

PRESENT_STATES = (MemberState.ALIVE, MemberState.SUSPECTED)

RESTART_DECAY = 10 * SECOND
"""Interval after which the restart count of a member decreases by one."""

FREQUENT_RESTARTS = 4
"""Restart count above which changes are reported only at powers of two, so that a member that keeps restarting cannot
fill the log."""


@dataclass(frozen=True)
class StateChange:
    """A change of a member's state and its reason; `was` and `now` are state labels."""

    name: str
    was: str
    now: str
    why: str


@dataclass
class Member:
    """One member as this front sees it.

    `since` is the time of the last state change, `last_received_at` that of the last message received from the member
    (0 for none).
    """

    latest: MemberUpdate
    since: int
    last_received_at: int = 0
    suspicion: Suspicion | None = None
    restarts: int = 0  # number of new generations, decreasing over time
    restarted_at: int = 0

    def count_restart(self, now: int) -> None:
        """Counts a new generation of the member."""
        self.restarts = max(0, self.restarts - (now - self.restarted_at) // RESTART_DECAY) + 1
        self.restarted_at = now

    @property
    def restarts_often(self) -> bool:
        """Whether it restarts too often for each restart to be reported."""
        return self.restarts > FREQUENT_RESTARTS


class MemberTable:
    """All members that this front knows, including itself."""

    def __init__(self, own_update: MemberUpdate, rng: Random, now: int) -> None:
        """Starts with only this front, whose update is `own_update`."""
        self.own_name = own_update.name
        self.rng = rng
        self.members: dict[str, Member] = {own_update.name: Member(own_update, now)}
        self.suspects: dict[str, Member] = {}
        self.former_addresses: dict[Address, None] = {}
        self.changes: list[StateChange] = []
        self.queue = UpdateQueue()
        self.queue.add(own_update)
        self._present: list[str] | None = None  # cached result of `present`

    @property
    def own_update(self) -> MemberUpdate:
        """This front's own update."""
        return self.members[self.own_name].latest

    def state(self, name: str) -> MemberState | None:
        """State of a member; None if it is not known."""
        member = self.members.get(name)
        return member.latest.state if member is not None else None

    def present(self) -> list[str]:
        """Sorted names of the present members, including this front. Callers must not modify the list."""
        if self._present is None:
            self._present = sorted(
                name for name, member in self.members.items() if member.latest.state in PRESENT_STATES
            )
        return self._present

    def is_present(self, name: str) -> bool:
        """Whether `name` is another member that is present."""
        return name != self.own_name and self.state(name) in PRESENT_STATES

    def sample(self, limit: int, except_for: str = "") -> list[str]:
        """A random sample of the other present members."""
        others = [name for name in self.present() if name not in (self.own_name, except_for)]
        return self.rng.sample(others, min(limit, len(others)))

    def count(self, state: MemberState) -> int:
        """Number of members in a state."""
        return sum(member.latest.state is state for member in self.members.values())

    def full_state(self) -> list[MemberUpdate]:
        """The latest updates of all members, this front's own first."""
        others = [member.latest for name, member in sorted(self.members.items()) if name != self.own_name]
        return [self.own_update, *others]

    # Changes.

    def announce(self, own_update: MemberUpdate) -> None:
        """Replaces this front's own update and queues it for dissemination."""
        self.members[self.own_name].latest = own_update
        self.queue.add(own_update)

    def set_left(self, own_update: MemberUpdate) -> None:
        """Replaces this front's own update by its last one, a leave."""
        self.members[self.own_name].latest = own_update
        self._present = None

    def record_own_change(self, was: str, now: str, why: str) -> None:
        """Reports a change of this front's own state or identity."""
        self.changes.append(StateChange(self.own_name, was, now, why))

    def admit(self, update: MemberUpdate, suspicion: Suspicion | None, now: int, why: str) -> bool:
        """Adds a new member; returns False if the table is full of present members."""
        if len(self.members) >= MAX_MEMBERS and not self._make_room():
            return False
        member = Member(update, now)
        self.members[update.name] = member
        self.set_suspicion(member, suspicion)
        self._present = None
        self.former_addresses.pop(update.address, None)
        self.queue.add(update)
        self.changes.append(StateChange(update.name, "", update.state.label, why))
        return True

    def set_suspicion(self, member: Member, suspicion: Suspicion | None) -> None:
        """Sets a member's suspicion, or ends it with None."""
        member.suspicion = suspicion
        if suspicion is not None:
            self.suspects[member.latest.name] = member
        else:
            self.suspects.pop(member.latest.name, None)

    def transition(self, member: Member, update: MemberUpdate, now: int, why: str) -> None:
        """Applies an update to a known member; the only place where a known member's state changes."""
        previous = member.latest
        member.latest = update
        self.queue.add(update)
        self._present = None
        if previous.state is update.state and previous.generation == update.generation:
            return
        member.since = now
        is_power_of_two = member.restarts & (member.restarts - 1) == 0
        if member.restarts_often and not is_power_of_two:
            return
        if member.restarts_often:
            why += f", {member.restarts} recent starts"
        self.changes.append(StateChange(update.name, previous.state.label, update.state.label, why))

    # Removal.

    def forget_expired(self, now: int) -> None:
        """Removes members that failed or left longer ago than their retention."""
        for name, member in list(self.members.items()):
            retention = RETENTION.get(member.latest.state)
            if retention is not None and now - member.since > retention:
                self._forget(name)

    def _make_room(self) -> bool:
        """Removes the member that failed or left the longest ago; returns False if all are present."""
        absent = [member for member in self.members.values() if member.latest.state not in PRESENT_STATES]
        if not absent:
            return False
        self._forget(min(absent, key=lambda member: (member.since, member.latest.name)).latest.name)
        return True

    def _forget(self, name: str) -> None:
        member = self.members.pop(name)
        self.suspects.pop(name, None)
        self._present = None
        self.queue.drop(name)
        if member.latest.state is MemberState.FAILED:
            self._remember_address(member.latest.address)

    def _remember_address(self, address: Address) -> None:
        """Keeps an address so that the sides of a partition that outlasts the retention still find each other."""
        self.former_addresses.pop(address, None)
        self.former_addresses[address] = None
        while len(self.former_addresses) > MAX_FORMER_ADDRESSES:
            del self.former_addresses[next(iter(self.former_addresses))]
