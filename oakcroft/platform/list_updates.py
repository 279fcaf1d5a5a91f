"""Applies changes of the node list in short steps of the event loop, however many come at once.

Before all else, nodes that the changes drain, remove or move get no new set-ups. The changes are then applied in order,
and a node becomes ready only by the last one that names it. So a front end that has much to catch up with neither stops
nor uses a node that is known to drain.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol, TypeVar

from oakcroft.interface import NodeStatus
from oakcroft.platform.stepper import Stepper
from oakcroft.platformwire.command_channel import ListChange, NodeMember

Item = TypeVar("Item")

MEMBERS_PER_PART = 32
"""Members that are applied between two looks at the clock."""


class ListedPool(Protocol):
    """What is known of a listed node."""

    address: tuple[str, int]

    @property
    def is_listed(self) -> bool:
        """Whether the node is on the list."""


class ListReceiver(Protocol):
    """Applies changes of the node list at once; implemented by the session coordinator."""

    @property
    def listed_pools(self) -> Mapping[str, ListedPool]:
        """The pools of all nodes that are or were listed, by name."""

    def apply_members(self, members: Sequence[NodeMember]) -> None:
        """Applies entries of the node list."""

    def remove_members(self, names: Sequence[str]) -> None:
        """Removes nodes that a whole list does not name."""

    def withhold_setups(self, names: Sequence[str]) -> None:
        """Sends no new set-ups to nodes."""


@dataclass(frozen=True)
class Mentions:
    """Which change names a node last, by name, and which is the last whole list; -1: none."""

    last_by_name: dict[str, int]
    last_complete: int

    def may_become_ready(self, name: str, change_index: int) -> bool:
        """Whether no later change concerns a node that a change names."""
        return self.last_by_name[name] == change_index and change_index >= self.last_complete


class ListUpdates:
    """Passes changes of the node list on to their receiver."""

    def __init__(self, receiver: ListReceiver) -> None:
        """Nothing is being applied yet."""
        self.receiver = receiver

    async def apply(self, changes: Sequence[ListChange]) -> None:
        """Applies changes in order. Other tasks run between its steps, if there is more than one."""
        if len(changes) == 1 and not changes[0].is_complete and len(changes[0].members) <= MEMBERS_PER_PART:
            self.receiver.apply_members(changes[0].members)
            return
        stepper = Stepper()
        mentions = await self._find_mentions(changes, stepper)
        await self._withhold_setups(changes, stepper)
        for index, change in enumerate(changes):
            for part in parts(change.members):
                self.receiver.apply_members([_as_known(member, index, mentions) for member in part])
                await stepper.pause_if_due()
            if change.is_complete:
                await self._remove_unlisted(change, stepper)

    async def _find_mentions(self, changes: Sequence[ListChange], stepper: Stepper) -> Mentions:
        """Finds which change names each node last."""
        last_by_name = dict[str, int]()
        last_complete = -1
        for index, change in enumerate(changes):
            for part in parts(change.members):
                last_by_name.update((member.name, index) for member in part)
                await stepper.pause_if_due()
            if change.is_complete:
                last_complete = index
        return Mentions(last_by_name, last_complete)

    async def _withhold_setups(self, changes: Sequence[ListChange], stepper: Stepper) -> None:
        """Sends no new set-ups to nodes that any of the changes drains, removes or moves."""
        pools = self.receiver.listed_pools
        for change in changes:
            for part in parts(change.members):
                leaving = [member.name for member in part if _leaves(member, pools.get(member.name))]
                self.receiver.withhold_setups(leaving)
                await stepper.pause_if_due()
            if change.is_complete:
                for unlisted in parts(self._unlisted(change)):
                    self.receiver.withhold_setups(unlisted)
                    await stepper.pause_if_due()

    async def _remove_unlisted(self, change: ListChange, stepper: Stepper) -> None:
        """Removes the nodes that a whole list does not name."""
        for names in parts(self._unlisted(change)):
            self.receiver.remove_members(names)
            await stepper.pause_if_due()

    def _unlisted(self, change: ListChange) -> list[str]:
        """Names of the listed nodes that a whole list does not name."""
        named = {member.name for member in change.members}
        return [
            name for name, pool in self.receiver.listed_pools.items() if pool.is_listed and name not in named
        ]


def parts(items: Sequence[Item]) -> Iterator[Sequence[Item]]:
    """Splits a sequence into parts of a size that takes far less than a step."""
    for start in range(0, len(items), MEMBERS_PER_PART):
        yield items[start : start + MEMBERS_PER_PART]


def _as_known(member: NodeMember, change_index: int, mentions: Mentions) -> NodeMember:
    """A member of a change, which gets no set-ups yet if a later change concerns it as well."""
    if member.status is NodeStatus.READY and not mentions.may_become_ready(member.name, change_index):
        return member._replace(status=NodeStatus.DRAINING)
    return member


def _leaves(member: NodeMember, pool: ListedPool | None) -> bool:
    """Whether a change drains, removes or moves a listed node."""
    if pool is None or not pool.is_listed:
        return False
    return member.status is not NodeStatus.READY or member.address != pool.address
