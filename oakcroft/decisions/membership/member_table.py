"""The table of members: how each stands, since when, who is present, and what has changed.

Every change of a member's state goes through `MemberTable.transition`, which also queues it for dissemination. The table
is bounded; past the bound a failed or left member makes room, or the newcomer is not taken.
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
"""Addresses of forgotten members that are still asked now and then."""

FAILED_RETENTION = 600 * SECOND
LEFT_RETENTION = 86_400 * SECOND
RETENTION = {MemberState.FAILED: FAILED_RETENTION, MemberState.LEFT: LEFT_RETENTION}
"""How long a member that is no longer there stays in the table."""

PRESENT_STATES = (MemberState.ALIVE, MemberState.SUSPECTED)

RESTART_DECAY = 10 * SECOND
"""In which one restart of a member is forgotten."""

FREQUENT_RESTARTS = 4
"""Past so many, changes are told of at each power of two only: a member that restarts on and on must not fill the log."""


@dataclass(frozen=True)
class StateChange:
    """A change of the table, with its evidence; `was` and `now` are operators' words."""

    name: str
    was: str
    now: str
    why: str


@dataclass
class Member:
    """One member as this front sees it. `since`: of its state; `heard_at`: its own last message here (0: none)."""

    latest: MemberUpdate
    since: int
    heard_at: int = 0
    suspicion: Suspicion | None = None
    restarts: int = 0  # new generations, fewer as time passes
    restarted_at: int = 0

    def count_restart(self, now: int) -> None:
        """A new generation of a known member."""
        self.restarts = max(0, self.restarts - (now - self.restarted_at) // RESTART_DECAY) + 1
        self.restarted_at = now

    @property
    def restarts_often(self) -> bool:
        """Whether its restarts are too many for each to be told of."""
        return self.restarts > FREQUENT_RESTARTS


class MemberTable:
    """All members that this front knows, itself among them."""

    def __init__(self, me: MemberUpdate, rng: Random, now: int) -> None:
        """A table that holds this front alone, as it says of itself in `me`."""
        self.own_name = me.name
        self.rng = rng
        self.members: dict[str, Member] = {me.name: Member(me, now)}
        self.suspects: dict[str, Member] = {}
        self.former_addresses: dict[Address, None] = {}
        self.changes: list[StateChange] = []
        self.queue = UpdateQueue()
        self.queue.add(me)
        self._present: list[str] | None = None  # what `present` found last

    @property
    def me(self) -> MemberUpdate:
        """What this front says of itself."""
        return self.members[self.own_name].latest

    def state(self, name: str) -> MemberState | None:
        """The state of a member; None where it is not known."""
        member = self.members.get(name)
        return member.latest.state if member is not None else None

    def present(self) -> list[str]:
        """Those taken to be there, this front among them, by name. Not to be changed."""
        if self._present is None:
            self._present = sorted(n for n, m in self.members.items() if m.latest.state in PRESENT_STATES)
        return self._present

    def is_present(self, name: str) -> bool:
        """Whether another member is taken to be there."""
        return name != self.own_name and self.state(name) in PRESENT_STATES

    def sample(self, most: int, except_for: str = "") -> list[str]:
        """Some of the others that are present, at random."""
        others = [n for n in self.present() if n not in (self.own_name, except_for)]
        return self.rng.sample(others, min(most, len(others)))

    def count(self, state: MemberState) -> int:
        """How many members are in a state."""
        return sum(m.latest.state is state for m in self.members.values())

    def full_state(self) -> list[MemberUpdate]:
        """All that this front would tell another: its own update first."""
        others = [m.latest for n, m in sorted(self.members.items()) if n != self.own_name]
        return [self.me, *others]

    # Changes.

    def announce(self, me: MemberUpdate) -> None:
        """Another update about this front itself, to be disseminated."""
        self.members[self.own_name].latest = me
        self.queue.add(me)

    def set_left(self, me: MemberUpdate) -> None:
        """This front's last update about itself."""
        self.members[self.own_name].latest = me
        self._present = None

    def record_own_change(self, was: str, now: str, why: str) -> None:
        """A change of this front's own state or identity, for the host to tell operators."""
        self.changes.append(StateChange(self.own_name, was, now, why))

    def admit(self, update: MemberUpdate, suspicion: Suspicion | None, now: int, why: str) -> bool:
        """Takes a newcomer in; False where the table is full of members that are there."""
        if len(self.members) >= MAX_MEMBERS and not self._make_room():
            return False
        self.members[update.name] = member = Member(update, now)
        self.set_suspicion(member, suspicion)
        self._present = None
        self.former_addresses.pop(update.address, None)
        self.queue.add(update)
        self.changes.append(StateChange(update.name, "", update.state.label, why))
        return True

    def set_suspicion(self, member: Member, suspicion: Suspicion | None) -> None:
        """Begins or ends a suspicion."""
        member.suspicion = suspicion
        if suspicion is not None:
            self.suspects[member.latest.name] = member
        else:
            self.suspects.pop(member.latest.name, None)

    def transition(self, member: Member, update: MemberUpdate, now: int, why: str) -> None:
        """The one place where the state of a known member changes."""
        was, member.latest = member.latest, update
        self.queue.add(update)
        self._present = None
        if was.state is update.state and was.generation == update.generation:
            return
        member.since = now
        is_power_of_two = member.restarts & (member.restarts - 1) == 0
        if member.restarts_often and not is_power_of_two:
            return
        if member.restarts_often:
            why += f", {member.restarts} starts of late"
        self.changes.append(StateChange(update.name, was.state.label, update.state.label, why))

    # Forgetting.

    def forget_expired(self, now: int) -> None:
        """Forgets members that failed or left long enough ago."""
        for name, member in list(self.members.items()):
            retention = RETENTION.get(member.latest.state)
            if retention is not None and now - member.since > retention:
                self._forget(name)

    def _make_room(self) -> bool:
        """Guards the table against names without end: those that failed or left go first, the longest ago first."""
        absent = [m for m in self.members.values() if m.latest.state not in PRESENT_STATES]
        if not absent:
            return False
        self._forget(min(absent, key=lambda m: (m.since, m.latest.name)).latest.name)
        return True

    def _forget(self, name: str) -> None:
        member = self.members.pop(name)
        self.suspects.pop(name, None)
        self._present = None
        self.queue.drop(name)
        if member.latest.state is MemberState.FAILED:
            self._remember_address(member.latest.address)

    def _remember_address(self, address: Address) -> None:
        """So that two sides of a partition that outlasts the retention still find each other."""
        self.former_addresses.pop(address, None)
        self.former_addresses[address] = None
        while len(self.former_addresses) > MAX_FORMER_ADDRESSES:
            del self.former_addresses[next(iter(self.former_addresses))]
