"""Takeover of the sessions of failed fronts: which nodes this front asks for them, when, and for which sessions.

The media of a playback flows between node and viewer without a front, but the node ends it when the front's lease runs
out. So when the membership shows a front as failed, the others ask the nodes for its sessions. For each pair of failed
front and node, rendezvous hashing orders the present fronts: the first three ask and take a third each, and a little
later they ask for what is left. A node gives each session to one front only (session_ownership.py), so requests of
several fronts do no harm. All work is bounded: tasks looked at in a turn, requests in flight, hashes in a turn, and
sessions taken over. An earlier process of this front counts as a failed front for which this front is always first.

Time is passed in with each call, and nothing here sends messages.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from oakcroft.decisions.fleet.session_ownership import TakeoverAnswer
from oakcroft.decisions.membership.rendezvous import rank_order, weight
from oakcroft.interface import MS, SECOND

MAX_REQUESTING_FRONTS = 3
"""Fronts that request the sessions of one failed front from one node."""

ROUND_INTERVAL = SECOND
"""Time between the two rounds of requests; a successful request takes some tens of ms."""

RETRY_DELAY = 400 * MS
"""Delay before a node that could not be reached, or refused for now, is asked again."""

MAX_CONCURRENT_REQUESTS = 24
"""Requests in flight: with 140 of 200 fronts failed, a node then gets about a hundred requests a second."""

MAX_FRONTS_PER_REQUEST = 16
"""Failed fronts in one request."""

MAX_TASKS = 65_536
"""Pairs of failed front and node that are queued; the sessions of further pairs end with their lease."""

MAX_TASKS_SCANNED = 400
"""Tasks looked at in one turn."""

MAX_ORDERS_COMPUTED = 12
"""Rendezvous orders computed in one turn; they take 2 ms at 200 fronts."""

KNOWN_FRONTS_FACTOR = 4
MIN_KNOWN_FRONTS = 64
"""Names of absent fronts are dropped once there are KNOWN_FRONTS_FACTOR times as many names as present and failed
fronts, of which at least MIN_KNOWN_FRONTS are counted."""

HASH_SLOTS_PER_NODE = 4
"""Rendezvous orders of each node, so that the sessions of many failed fronts on one node go to more than three fronts."""


@dataclass(frozen=True)
class TakeoverBounds:
    """Configured bounds of takeovers. Times in ns."""

    delay: int
    """Delay after a front is seen as failed."""

    session_lease: int
    """Lease that fronts ask nodes for."""

    max_taken_over: int
    """Playbacks taken over that one front may hold at a time."""


class TakeoverDecision(Enum):
    """Whether an offered session is taken over, or why not; operators read the values."""

    ACCEPTED = "takes it"
    UNKNOWN_PLAN = "no such plan here"
    TITLE_NOT_SERVED = "its title has no place here"
    NO_SEAT_FREE = "its seats are taken"
    TOO_MANY_TAKEN_OVER = "this front holds as many as it may"
    ALREADY_HELD = "it is held here already"
    UNREADABLE_CONTEXT = "its memo can't be read"


@dataclass
class FailedFront:
    """A front whose sessions may be taken over. Times in ns."""

    name: str
    failed_at: int
    """When this front saw it as failed."""

    expires_at: int
    """When nodes have ended its sessions; 0 once the takeover has been reported as finished."""

    hash_slot: int
    """Which of a node's rendezvous orders applies to it."""

    pending_nodes: set[str] = field(default_factory=set)
    """Nodes that are still to be asked, or are being asked."""

    taken_over: int = 0
    """Sessions taken over."""

    declined: Counter[str] = field(default_factory=Counter)
    """Sessions not taken over, by the value of the `TakeoverDecision`."""


@dataclass
class TakeoverTask:
    """Asks one node for the sessions of one failed front.

    In the first round this front takes its own share of the sessions, in the second round all that are left.
    """

    front: FailedFront
    node: str
    due_at: int
    """Earliest time of the request, in ns."""

    is_second_round: bool = False
    rank: int = 0
    """This front's place among the requesting fronts."""

    requesting_fronts: int = 1
    """Number of fronts that request the sessions and share them."""

    def is_own(self, session_id: str) -> bool:
        """Returns whether this front takes a session in this round."""
        return self.is_second_round or weight("session", session_id) % self.requesting_fronts == self.rank


@dataclass(frozen=True)
class TakeoverRequest:
    """A request to one node for the sessions of several failed fronts."""

    node: str
    tasks: tuple[TakeoverTask, ...]

    @property
    def front_names(self) -> list[str]:
        """Names of the failed fronts."""
        return [task.front.name for task in self.tasks]

    def is_own(self, front_name: str, session_id: str) -> bool:
        """Returns whether this front takes a session of a failed front now."""
        return any(task.front.name == front_name and task.is_own(session_id) for task in self.tasks)


class SessionTakeover:
    """The takeovers of one front: which requests are due, and what became of them."""

    def __init__(self, own_name: str, bounds: TakeoverBounds) -> None:
        """`own_name` is this front's name in the membership."""
        self.own_name = own_name
        self.bounds = bounds
        self.failed_fronts: dict[str, FailedFront] = {}
        self.listed_nodes: set[str] = set()
        self.present_fronts: frozenset[str] = frozenset()
        self.known_fronts: set[str] = set()
        self.preceding_fronts: dict[tuple[str, int], tuple[str, ...]] = {}  # by node and slot
        self.own_ranks: dict[tuple[str, int], int] = {}  # by node and slot, among the present fronts
        self.tasks: deque[TakeoverTask] = deque()
        self.active_requests: dict[str, TakeoverRequest] = {}  # by node
        self.dropped_tasks = 0
        self.orders_left = 0  # rendezvous orders that may still be computed in this turn

    # Changes of the fleet.

    def update_fronts(
        self, failed: Collection[str], present_fronts: Iterable[str], now: int
    ) -> list[FailedFront]:
        """Takes a change of the membership: names of the failed and of the present fronts.

        Returns the takeovers that end with it, as the front is back or forgotten.
        """
        self.present_fronts = frozenset(present_fronts)
        self.own_ranks.clear()
        if not self.present_fronts <= self.known_fronts:
            self.known_fronts |= self.present_fronts
            self.preceding_fronts.clear()
        ended = [
            front
            for name, front in self.failed_fronts.items()
            if name not in failed and name != self.own_name
        ]
        for front in ended:
            del self.failed_fronts[front.name]
        for name in sorted(set(failed) - set(self.failed_fronts) - {self.own_name}):
            self._add_failed_front(name, now, self.bounds.delay)
        if len(self.known_fronts) > KNOWN_FRONTS_FACTOR * max(
            MIN_KNOWN_FRONTS, len(self.present_fronts) + len(failed)
        ):
            # Bounds the table where names come and go.
            self.known_fronts = set(self.present_fronts) | set(failed)
            self.preceding_fronts.clear()
        return ended

    def add_own_earlier_generation(self, now: int) -> None:
        """Begins the takeover of this front's own earlier sessions, for a front without a record of them."""
        self._add_failed_front(self.own_name, now, 0)

    def _add_failed_front(self, name: str, now: int, delay: int) -> None:
        slot = weight("slot", name) % HASH_SLOTS_PER_NODE
        self.failed_fronts[name] = front = FailedFront(
            name, now, now + delay + self.bounds.session_lease + 2 * ROUND_INTERVAL, slot
        )
        for node in sorted(self.listed_nodes):
            self._add_task(front, node, now + delay)

    def _add_task(self, front: FailedFront, node: str, due_at: int, is_second_round: bool = False) -> None:
        if len(self.tasks) >= MAX_TASKS:
            self.dropped_tasks += 1
            front.pending_nodes.discard(node)
            return
        front.pending_nodes.add(node)
        self.tasks.append(TakeoverTask(front, node, due_at, is_second_round))

    def update_nodes(self, nodes: Iterable[str], now: int) -> None:
        """Takes a change of the node list."""
        listed = set(nodes)
        for node in sorted(listed - self.listed_nodes):
            for front in self.failed_fronts.values():
                # The node may have been off the list for a moment only, with its task still queued.
                if now < front.expires_at and node not in front.pending_nodes:
                    self._add_task(front, node, now)
        self.listed_nodes = listed

    # Due actions.

    def _own_rank(self, node: str, slot: int) -> int | None:
        """Returns how many present fronts precede this one; None where no more orders may be computed in this turn."""
        rank = self.own_ranks.get((node, slot))
        if rank is not None:
            return rank
        preceding = self.preceding_fronts.get((node, slot))
        if preceding is None:
            if not self.orders_left:
                return None
            self.orders_left -= 1
            order = rank_order(f"{node}/{slot}", self.known_fronts | {self.own_name})
            preceding = self.preceding_fronts[node, slot] = tuple(order[: order.index(self.own_name)])
        rank = 0
        for front in preceding:
            if front in self.present_fronts:
                rank += 1
                if rank >= MAX_REQUESTING_FRONTS:
                    break
        self.own_ranks[node, slot] = rank
        return rank

    def due_requests(self, now: int) -> list[TakeoverRequest]:
        """Returns the requests to begin now. The cost of a turn does not grow with the number of failed fronts."""
        tasks_by_node: dict[str, list[TakeoverTask]] = {}
        self.orders_left = MAX_ORDERS_COMPUTED
        remaining = list[TakeoverTask]()
        for _ in range(min(MAX_TASKS_SCANNED, len(self.tasks))):
            task = self.tasks.popleft()
            front = task.front
            node = task.node
            if (
                self.failed_fronts.get(front.name) is not front
                or node not in self.listed_nodes
                or now >= front.expires_at
            ):
                front.pending_nodes.discard(node)
                continue
            if now >= task.due_at and node not in self.active_requests and self._is_own_turn(task):
                batch = tasks_by_node.get(node)
                if batch is None and len(self.active_requests) + len(tasks_by_node) < MAX_CONCURRENT_REQUESTS:
                    tasks_by_node[node] = [task]
                    continue
                if batch is not None and len(batch) < MAX_FRONTS_PER_REQUEST:
                    batch.append(task)
                    continue
            remaining.append(task)
        self.tasks.extend(remaining)
        requests = []
        for node, batch in tasks_by_node.items():
            self.active_requests[node] = request = TakeoverRequest(node, tuple(batch))
            requests.append(request)
        return requests

    def _is_own_turn(self, task: TakeoverTask) -> bool:
        """Returns whether this front is among those that request the sessions; sets its place and their number."""
        if task.front.name == self.own_name:
            return True
        rank = self._own_rank(task.node, task.front.hash_slot)
        if rank is None or rank >= MAX_REQUESTING_FRONTS:
            return False
        task.rank = rank
        task.requesting_fronts = max(1, min(MAX_REQUESTING_FRONTS, len(self.present_fronts)))
        return True

    def request_finished(
        self, request: TakeoverRequest, answers: Mapping[str, TakeoverAnswer] | None, now: int
    ) -> None:
        """Takes the result of a request: the node's answer for each front, None where the node could not be asked."""
        self.active_requests.pop(request.node, None)
        for task in request.tasks:
            front = task.front
            front.pending_nodes.discard(request.node)
            if self.failed_fronts.get(front.name) is not front or now >= front.expires_at:
                continue
            answer = (
                answers.get(front.name, TakeoverAnswer.CALLER_NOT_ELIGIBLE)
                if answers is not None
                else TakeoverAnswer.RECENTLY_CONNECTED
            )
            if answer is TakeoverAnswer.ALLOWED:
                if not task.is_second_round and front.name != self.own_name:
                    self._add_task(front, request.node, now + ROUND_INTERVAL, is_second_round=True)
            elif answer is not TakeoverAnswer.CALLER_NOT_ELIGIBLE:
                self._add_task(front, request.node, now + RETRY_DELAY, task.is_second_round)

    def take_finished(self, now: int) -> list[FailedFront]:
        """Returns the takeovers that have finished, each once; they stay known, so that they do not begin again."""
        has_nodes = bool(self.listed_nodes)  # before the first node list no node can have been asked
        finished = [
            front
            for front in self.failed_fronts.values()
            if front.expires_at and ((has_nodes and not front.pending_nodes) or now >= front.expires_at)
        ]
        for front in finished:
            front.expires_at = 0
        return finished
