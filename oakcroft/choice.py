"""Decision module of a front end: who plays, on which playout node and at which rung of the quality ladder.

A host (types and protocols in `oakcroft/interface.py`) creates one `Controller` per front end from its
`DeploymentSettings`, a seed and itself, and calls the controller's event methods as things happen. The controller
answers by calling the host within the same call. Times are whole nanoseconds, rates are in kB/s.

Admission follows the paper's SA2C (session-aware admission control, docs/design.md):

- `_end_interval` samples the load of every node, fits a line to the samples to predict the next one, and blends the
  predicted and the measured cluster load into x. It then moves the thresholds T2 and T3 and steps the rungs of
  playbacks that play.
- `on_request` rejects a request with a probability that rises from 0 to 1 while x is in the band from T1 to T2.
- `_place` picks the holder of the title and the start rung.

Mechanisms beyond the paper, six at most:

1. Failure score: a node with failed or unanswered set-ups gets no more of them until its score has decayed.
2. Cold pace: a node that may have just started gets set-ups only in this front end's time slots, or with a small
   probability.
3. Tries: what an outcome proves, when a retry may follow, and how long a try may take.
4. Uplink correction: reports of short delivery raise the estimated load of a node, or of its rack's uplink, above
   what load reports can express.
5. Sampling: a front end sees a sample of the traffic. It extrapolates its own set-ups, losses and rung steps to the
   other front ends, assumes a load for links that report none, and tries nodes without reports last, with a
   probability that grows with their number.
6. Evenness: no playback starts at, or steps up to, more than about one rung above what plays already.
"""

from __future__ import annotations

import hashlib
from collections import deque
from collections.abc import Iterable, Sequence
from random import Random

from oakcroft.interface import MS, SECOND, Effect, Entry, Fading, Group, Host, Listing, ListKind, Node, Note
from oakcroft.interface import Outcome, Playback, Rack, State, Terms, Title

# Parameters that the paper leaves open.
INTERVAL = SECOND  # between two load samples
WINDOW = 5  # samples in the linear fit
ALPHA = 0.95  # the paper's alpha: weight of the mean in the cluster load, against the variance
# Thresholds on x. Requests are rejected from T1 on, all of them past T2; rungs are stepped down past T3. T2 and T3 are
# start values, which move towards T1 under overload. FULL is the paper's C, the cap of a sampled load.
T1, T2, T3, FULL = 0.92, 1.30, 1.02, 1.50
MARK = 0.90  # set-ups keep a link's load under it
# The same for starts in the upper half of the ladder and for steps up; well below T3, so that they are not undone.
UP_MARK = 0.70
REST = 8 * SECOND  # from a playback's change of rung to its next step up
MOVE = 0.10  # largest move of T2 or T3 per interval, as a share of its distance to T1
# Largest share of the playbacks concerned that are stepped up, or down, per interval.
PACE, DOWN_PACE = 0.15, 0.25

# Half-life of a node's failure score, and the score from which the node gets no set-ups.
DISTRUST_HALF, DISTRUSTED = 4 * SECOND, 0.7
SILENT = 600 * MS  # a set-up unanswered for longer counts against its node
TRY_SHARE = 0.4  # of the startup target: time limit of a try that another may follow
# Set-ups in a cold slot from which random ones are allowed besides, and how unevenly nodes are asked for.
FREELY, UNEVEN = 4, 3
COLD_PART = 0.45  # share of the overload budget per time slot: a window may overlap two slots
AGE = 300 * MS  # age of a load report that comes with the outcome of a try
NOTED = 2 * SECOND  # for which a report of short delivery is valid
# A rack's uplink correction: its decay per interval, its bounds, and the value past which it is logged.
RELAX, TIGHTEST, LOOSEST, TIGHT = 0.94, 2.0, 0.5, 1.1
CROWDED = 1.2  # a link loaded above this has lost capacity: it loads its rack's uplink with no more
# A delivered share under the first is short; under the second, the node has stopped delivering.
SHORT, DEAD = 0.98, 0.2
UNHEARD = 6 * SECOND  # after its start, for which a front end can't know which nodes are warm
TOO_OLD = 2 * SECOND  # by which a load report may be late before it is stale
# Number of front ends at which the assumed load weighs as much as what a front end extrapolates from its own playbacks.
LIKE = 4
SPENT = 1 << 30  # recorded as the set-ups of a time slot that is used up
USUAL = 0.7  # load assumed for a link while no link has reported its load


# Allowed transitions of a playback's state; states without an entry are final.
NEXT = {
    State.ARRIVED: {State.SETTING_UP, State.PLAYING, State.REJECTED, State.ABORTED, State.ENDED},
    State.SETTING_UP: {State.PLAYING, State.BETWEEN, State.CLOSED, State.ENDED},
    State.BETWEEN: {State.SETTING_UP, State.REJECTED, State.ABORTED},
    State.PLAYING: {State.CLOSED, State.ENDED},
    State.CLOSED: {State.ENDED},
}
# States in which a playback holds a seat and adds to its node's load.
HOLDS = {State.SETTING_UP, State.PLAYING, State.CLOSED}


class Controller:
    """Takes the decisions of one front end; its host calls the public methods, one at a time."""

    def __init__(self, terms: Terms, seed: int, host: Host, now: int) -> None:
        """Starts at `now`: subscribes to the node list where the settings require it, and sets the first timer."""
        self.terms, self.host, self.rng = terms, host, Random(seed)
        self.started, self.racks = now, [Rack() for _ in range(terms.racks)]
        self.nodes: dict[Node, None] = {}
        self.version, self.asked_at, self.following = 0, now, False
        self.wakes = now + INTERVAL  # end of the running sample interval
        self.t2, self.t3, self.x, self.err, self.predicted = T2, T3, 0.0, 1.0, 0.0
        self.usual = USUAL  # for a link without reports: the mean of those with reports
        self.any_told = False  # `assumed_load` is such a mean, no longer a default
        self.due = terms.reports_every + terms.seen_after + TOO_OLD  # age up to which a report is fresh
        self.blind, self.mean_rung = 0.0, self._middle()  # weight of missing reports, 0 to 1; own playbacks
        self.held, self.links = 0.0, 1.0  # kB/s: of own playbacks, of all links
        self.held_then = deque([(now, 0.0)], maxlen=12)  # at the ends of the last intervals
        self.mode, self.asked = "open", Fading()  # and recent requests
        self.taken, self.further = deque[int](), deque[int]()
        if terms.must_follow:
            host.follow()
        host.alarm(self.wakes)

    # Node list.

    def listed(self, kind: ListKind, entries: Iterable[Entry], now: int) -> None:
        """Takes over the node list, or changes of it."""
        self.following = kind in (ListKind.CHANGES, ListKind.WHOLE)
        if kind is ListKind.FAILED:
            return  # `on_timer` subscribes again
        missing = dict(self.nodes) if kind is not ListKind.CHANGES else {}
        for e in entries:
            node = e.node
            missing.pop(node, None)
            # The start time never goes back, so that a late list can't make a node warm, and is never in the
            # future, so that a clock ahead of ours can't keep it cold for ever.
            started_at = min(e.started_at, now)
            if started_at > node.started_at:  # a new process: what is known of the old one is void
                node.distrust.clear()
                # It is empty. Where most nodes report nothing, all front ends would choose it for that, so only
                # some of them take its load as known.
                node.heard, node.reported, node.reported_at = self.rng.random() >= self.blind, 0.0, now
                node.handed_over = False
            node.listing, node.started_at = e.listing, max(node.started_at, started_at)
            node.link, node.places = max(1.0, e.link), e.places
            node.level = self._level(node)
            node.rack = self.racks[node.cell % self.terms.racks]
            self.nodes[node] = None
        for node in missing:
            node.listing = Listing.GONE
        self.nodes = {n: None for n in self.nodes if n.listing is not Listing.GONE}
        for i, rack in enumerate(self.racks):
            rack.nodes = [n for n in self.nodes if n.cell % self.terms.racks == i]
        self.version += 1
        self.links = max(1.0, sum(n.link for n in self.nodes))
        if not self.any_told:
            self.usual = self._untold()
            for node in self.nodes:
                node.level = self._level(node)
        self._carry()

    def _holders(self, title: Title) -> list[Node]:
        """Nodes that hold a title, in a hash order that is the same on all front ends."""
        if title.known != self.version:
            cells = self.terms.cells
            copies = title.copies if 0 < title.copies < cells else cells
            held = [n for n in self.nodes if (n.cell - title.home) % cells < copies]
            if (named := title.named) is not None:
                held = [n for n in self.nodes if n.name.partition("+")[0] in named]
            held.sort(key=lambda n: digest(f"{title.name}\0{n.name}"))
            title.holders, title.known = held, self.version
        return title.holders

    # Load.

    def _rate(self, pb: Playback, rung: int) -> float:
        """Rate of a playback at a rung, in kB/s."""
        rates = pb.title.rates or self.terms.rates
        return rates[min(rung, len(rates) - 1)] * pb.plan.rate_factor

    def _adds(self, pb: Playback, node: Node, rung: int) -> float:
        """Rate that a set-up would add to a node, in kB/s; smaller where it joins a running stream."""
        same = ((other.title, other.plan, other.rung) for other in node.playbacks)
        joins = pb.plan.shares_stream and (pb.title, pb.plan, rung) in same
        return self._rate(pb, rung) * (self.terms.join_adds if joins else 1.0)

    def _level(self, node: Node) -> float:
        """Demand on the link over its capacity, from the last report and own changes since then."""
        if not node.heard:
            own = sum(self._rate(pb, pb.rung) for pb in node.playbacks)
            # Own playbacks times the number of front ends is a poor estimate where there are many front ends:
            # the more there are, the more the assumed load counts.
            over = own * self.terms.fronts / node.link - self.usual
            return self.usual + over / (1 + self.terms.fronts / LIKE)
        since = sum(kb for at, kb in node.own if at > node.reported_at) / node.link
        return max(0.0, node.reported + since + self._unseen(node.reported_at))

    def _untold(self) -> float:
        """Load to assume for links while none has reported.

        Where the links of a rack exceed its uplink, the default load is taken for the uplink; otherwise racks would
        look full on an assumption alone. Drawback: a full fleet shows only by reports of short delivery.
        """
        through = self.terms.uplink * self.terms.racks / self.links if self.terms.uplink > 0 else 1.0
        return USUAL * min(1.0, through)

    def _unseen(self, at: int) -> float:
        """Link load that the other front ends have added since `since`, extrapolated from this one's own change.

        Covers crowds that arrive between two reports, and links that a loss has emptied while their last report
        still says full: any change that all front ends see alike. Drawback: viewers that move from one front end to
        another count as new.
        """
        then = next((kb for t, kb in reversed(self.held_then) if t <= at), self.held_then[0][1])
        net, unit = self.held - then, self.terms.rates[len(self.terms.rates) // 2]
        sure = abs(net) / (abs(net) + unit)  # weight: a single playback may be chance
        return sure * net * (self.terms.fronts - 1) / self.links

    def _carry(self) -> None:
        """Recomputes the rate that the links of each rack carry."""
        for rack in self.racks:
            rack.carried = sum(min(n.level, CROWDED) * n.link for n in rack.nodes)

    def _load(self, node: Node, now: int, more: float = 0.0) -> float:
        """Load that affects a playback on this node, link or uplink, with `added_rate` kB/s on top."""
        crowd = self._unseen(self.held_then[-1][0])
        load = node.level + more / node.link + crowd
        if self.terms.uplink > 0:
            load = max(load, (node.rack.carried + more) * node.rack.tight / self.terms.uplink + crowd)
        return load

    def _shift(self, node: Node, kb: float, now: int) -> None:
        """Records a change of what a node carries, in kB/s, that no report covers yet."""
        node.own.append((now, kb))
        while node.own[0][0] < now - 8 * SECOND:
            node.own.popleft()
        node.level = max(0.0, node.level + kb / node.link)
        node.rack.carried += kb

    def _report(self, node: Node, value: float, age: int, now: int, inferred: bool = False) -> None:
        """Records the load of a link as of `report_age_ns` ago.

        With `is_inferred` the node did not report it: it follows from a refusal or from short delivery.
        """
        if now - age < node.reported_at and not node.told:
            return
        old = node.level
        node.heard, node.reported, node.reported_at, node.told = True, value, now - age, False
        node.reports |= not inferred
        node.level = self._level(node)
        node.rack.carried += (min(node.level, CROWDED) - min(old, CROWDED)) * node.link

    def told(self, node: Node, asked: float, age: int, now: int) -> None:
        """Takes over the load of a link that another front end heard `report_age_ns` ago.

        It counts only where this front end's own traffic brings no reports of the link any more, and the next own
        report replaces it.
        """
        own = node.heard and not node.told and now - node.reported_at <= self.terms.reports_every + TOO_OLD
        if not own and now - age > (node.reported_at if node.heard else 0):
            self._report(node, asked, age, now)
            node.told = True

    def _uplink_report(self, rack: Rack, value: float) -> None:
        """Sets the uplink correction so that the estimated load of the uplink equals the reported one."""
        if rack.carried > 0 and self.terms.uplink > 0:
            rack.tight = min(TIGHTEST, max(LOOSEST, value * self.terms.uplink / rack.carried))

    def noted(self, pb: Playback, kind: Note, value: float, now: int) -> None:
        """Takes over a reported value about one playback, most of which describe its node.

        Ignored where the playback holds no place on a node: the report is late or early and can't be trusted.
        """
        node = pb.node
        if node is None or pb.state not in HOLDS:
            return
        if kind is Note.RUNG:
            self._shift(node, self._rate(pb, int(value)) - self._rate(pb, pb.rung), now)
            pb.rung = int(value)
        elif kind is Note.LINK_ASKED:
            self._report(node, value, 0 if pb.fresh else self.terms.seen_after, now)
            pb.fresh = False
        elif kind is Note.UPLINK_ASKED:
            self._uplink_report(node.rack, value)
        elif kind is Note.DELIVERED:
            if value < DEAD:
                # A full link still delivers some of it; this node has stopped.
                node.distrust.add(1.0, now, DISTRUST_HALF)
                return
            node.short, node.short_at = value, now if value < SHORT else node.short_at - NOTED
            alone = self._squeeze(node, now)
            if value < SHORT and alone and 1 / max(value, 0.2) > node.level + 0.05:
                self._report(node, 1 / max(value, 0.2), self.terms.seen_after, now, inferred=True)

    def _squeeze(self, node: Node, now: int) -> bool:
        """Whether the node's own link causes its short delivery; if not, raises the rack's uplink correction.

        An uplink limits all its nodes to the same share, so the node with the best share shows how far the uplink is
        overloaded. A node without neighbours is judged by whether the load of its link explains the short delivery.
        Covers uplinks with less than the mean capacity, which no load report shows, and any other bottleneck that
        several nodes share. Drawback: a rack whose links are all overloaded looks like an overloaded uplink until the
        correction has decayed.
        """
        rack = node.rack
        shares = [n.short if now - n.short_at < NOTED else 1.0 for n in rack.nodes if n.playbacks]
        carried = max(rack.carried, *rack.lately)  # the report is late and describes an earlier moment
        explained = len(shares) < 2 and 1 / max(shares) < max([node.level, *node.samples[-3:]]) + 0.1
        if explained or max(shares) >= SHORT or carried <= 0 or self.terms.uplink <= 0:
            return True
        rack.tight = min(TIGHTEST, max(rack.tight, self.terms.uplink / max(shares) / carried))
        return False

    # Sample interval.

    def alarm(self, now: int) -> None:
        """Ends the sample interval and sets the timer for the next one.

        A timer that fires too early or twice is ignored: it would start a second chain of intervals.
        """
        if now < self.wakes - MS:
            return
        self.wakes = now + INTERVAL
        self._interval(now)
        due = now - self.asked_at >= self.terms.ask_within // 2
        if self.terms.must_follow and due and not self.following:
            self.asked_at = now
            self.host.follow()
        self.host.alarm(self.wakes)

    def _interval(self, now: int) -> None:
        """Samples the loads, updates x and the thresholds, and steps rungs."""
        listed = [n for n in self.nodes if n.listing is Listing.READY]
        if not listed:
            return
        # A node that does not answer carries no load. Counted as full, it would cause rejections of requests that the
        # other nodes have room for.
        ready = [n for n in listed if self._sound(n, now)] or listed
        self._log_health(listed, now)
        fresh = [n for n in ready if n.heard and now - n.reported_at <= self.due]
        # Where no node reports its load, the only known loads are those of links found full, which must not stand
        # for all others. Drawback: that the whole fleet is full is learnt there node by node.
        if not any(n.reports for n in fresh):
            fresh = []
        silent = 1 - len(fresh) / len(ready)  # the weight below stays near 0 for few such nodes
        self.blind = silent**3 / (silent**3 + (1 - silent) ** 3)
        if fresh:
            self.usual, self.any_told = sum(n.level for n in fresh) / len(fresh), True
        if now - self.started <= UNHEARD:
            self.held_then.clear()
        self.held_then.append((now, self.held))
        for node in self.nodes:
            if now - node.reported_at > self.due:  # its reports have stopped
                node.heard, node.samples = False, []
            node.level = self._level(node)
        self._carry()
        telling = fresh or ready
        for node in telling:
            node.samples = [*node.samples[1 - WINDOW :], min(FULL, self._load(node, now))]
            node.forecast = forecast(node.samples)
        for rack in self.racks:
            rack.lately = [*rack.lately[-2:], rack.carried]
            uplink = rack.carried * rack.tight / self.terms.uplink if self.terms.uplink > 0 else 0.0
            if uplink > T1 and all(now - n.short_at > NOTED + INTERVAL for n in rack.nodes):
                rack.tight = max(LOOSEST, rack.tight * (RELAX if uplink < 1 else 1 / uplink))
        measured = cluster_load([n.samples[-1] for n in telling])
        self.err = min(1.0, abs(self.predicted / measured - 1)) if fresh and measured > 0 else 1.0
        self.predicted = cluster_load([n.forecast for n in telling])
        self.x = blend(self.err, self.predicted, measured)
        self._move_marks()
        self._steps(ready, now)

    def _log_health(self, listed: list[Node], now: int) -> None:
        """Logs nodes that became healthy or unhealthy, and racks whose uplink correction became high or normal."""
        for node in listed:
            if node.out == self._sound(node, now):
                node.out = not node.out
                why = f"distrust {node.distrust.read(now, DISTRUST_HALF):.1f}, {len(node.waiting)} unanswered"
                self.host.log(f"node {node.name} {'out' if node.out else 'back'}: {why}")
        for i, rack in enumerate(self.racks):
            if rack.logged != (rack.tight > TIGHT):
                rack.logged = not rack.logged
                self.host.log(f"rack {i} {'tight' if rack.logged else 'eased'}: {rack.tight:.2f}")

    def _move_marks(self) -> None:
        """Moves T2 and T3 towards T1 while x exceeds them, resets them under T1, and logs a change of mode."""
        if (x := self.x) < T1:
            self.t2, self.t3 = T2, T3
        if x > self.t2:
            self.t2 -= min(x - self.t2, MOVE * (self.t2 - T1))
        if x > self.t3:
            self.t3 -= min(x - self.t3, MOVE * (self.t3 - T1))
        mode = "open" if x <= T1 else "band" if x <= self.t2 else "closed"
        mode += ", stepping down" if x > self.t3 else ""
        if mode != self.mode:
            self.mode = mode
            self.host.log(f"mode {mode}: x={x:.2f} err={self.err:.2f} T2={self.t2:.2f} T3={self.t3:.2f}")

    def _steps(self, ready: list[Node], now: int) -> None:
        """Steps the rungs of playing playbacks down past T3 and up under T1, a bounded share of them per interval."""
        rungs = [pb.rung for node in ready for pb in node.playbacks]
        self.mean_rung = sum(rungs) / len(rungs) if rungs else self._middle()
        for node in [n for n in ready if n.playbacks]:
            playing = [pb for pb in node.playbacks if pb.state is State.PLAYING]
            load = self._load(node, now)
            mark = T1 if now - node.short_at < NOTED else self.t3  # short delivery is reported without noise
            if load > mark:
                p = step_down_probability(max(self.x, load), self.t3)
                down = [pb for pb in playing if pb.rung > pb.plan.floor]
                down.sort(key=lambda pb: self._worth_per_kb(pb, pb.rung - 1))
                self._step(node, down, -1, (load - mark) * node.link, p, now)
            elif self.x < T1 and load < UP_MARK:
                even = self.mean_rung + 0.5
                rested = [pb for pb in playing if now - pb.changed_at > REST]
                up = [pb for pb in rested if pb.rung < pb.top and pb.rung <= even]
                up.sort(key=lambda pb: -self._worth_per_kb(pb, pb.rung))
                self._step(node, up, 1, (UP_MARK - load) * node.link, 1.0, now)

    def _step(self, node: Node, some: list[Playback], way: int, gap: float, p: float, now: int) -> None:
        """Steps playbacks of a node one rung in `direction`, to close a gap in kB/s that every front end sees.

        The other front ends are assumed to step as well, and each takes its part at random: otherwise many front ends
        with one playback each would overshoot together. Works for any number of front ends. Drawback: a front end
        that is alone on a link may take longer.
        """
        own = sum(self._rate(pb, pb.rung) for pb in node.playbacks)
        many = min(max(1.0, node.level * node.link / max(own, 1.0)), self.terms.fronts)
        pace = (PACE if way > 0 else DOWN_PACE) * len(node.playbacks)
        for pb in some:
            kb = abs(self._rate(pb, pb.rung + way) - self._rate(pb, pb.rung))
            part = min(1.0, pace, gap / max(1.0, kb * many))
            if part <= 0:
                break
            gap, pace = gap - part * kb * many, pace - part
            self._shift(node, way * kb * (many - 1) * part * p, now)
            if self.rng.random() < part * p:
                self._shift(node, way * kb, now)
                pb.rung, pb.changed_at = pb.rung + way, now
                self.host.set_rung(pb, pb.rung)

    def _worth_per_kb(self, pb: Playback, low: int) -> float:
        """Revenue gained by the step from a rung to the next, per kB/s."""
        worth = pb.plan.revenue * (self.terms.rung_worth[low + 1] - self.terms.rung_worth[low])
        return worth / max(1.0, self._rate(pb, low + 1) - self._rate(pb, low))

    # Requests.

    def arrived(self, pb: Playback, now: int) -> None:
        """Handles a request: rejects it with the probability that holds in the band, else places it.

        A request that was handled before is ignored.
        """
        if pb.state is not State.ARRIVED:
            return
        if now >= pb.abandon:  # the viewer has given up
            self._give_up(pb, now)
            return
        if pb.beside is not None and not self._may_try_again(pb, now):
            self._give_up(pb, now)
            return
        self._count(self.taken if pb.beside is None else self.further, now)  # a copy counts as a retry
        self.asked.add(1.0, now, self.terms.fall_window)
        if not pb.moved and self.rng.random() < refusal_probability(self.x, self.t2):
            self._give_up(pb, now)
        else:
            self._place(pb, now)

    def _place(self, pb: Playback, now: int) -> None:
        """Sends a try to the less loaded of the first two holders with room, or gives the playback up."""
        plan = pb.plan
        two, unsure = list[Node](), list[Node]()
        if not plan.seats or pb.title.seats.get(plan, 0) < plan.seats:
            for node in self._holders(pb.title):
                low = self._adds(pb, node, plan.floor)
                if self._may_try(pb, node, now) and self._load(node, now, low) <= MARK:
                    # Without load reports, all front ends would fill a title's first holders without noticing. So a
                    # holder comes last at random, with the weight of missing reports as probability (near 0 with few
                    # front ends), unless its known load is under the assumed one. Drawback: a title spreads over more
                    # holders than it needs.
                    fresh = node.heard and self._load(node, now) < self.usual
                    (two if fresh or self.rng.random() >= self.blind else unsure).append(node)
                    if len(two) == 2:
                        break
        self.rng.shuffle(unsure)
        two = [*two, *unsure][:2]
        if two:
            node = min(two, key=lambda n: (self._load(n, now), self.rng.random()))
            self._send(pb, node, self._start_rung(pb, node, now), now)
        else:
            self._give_up(pb, now)

    def _middle(self) -> float:
        """Mean rung assumed by a front end that plays nothing.

        Otherwise a whole fleet that comes back would start at the bottom of the ladder, as no front end has a
        playback to go by. Drawback: it starts too high where links are full and report nothing.
        """
        return float((len(self.terms.rates) - 1) // 2)

    def _start_rung(self, pb: Playback, node: Node, now: int) -> int:
        """Highest rung that keeps the load under its limit, which is lower for the upper half of the ladder.

        It is at most one above the mean of what plays on the node, or on this front end where few play on the node:
        otherwise the first viewers would take what later ones lack. Also protects front ends that know no load yet.
        Drawback: a lone viewer starts low.
        """
        playing = [other.rung for other in node.playbacks]
        mean = sum(playing) / len(playing) if len(playing) > 2 else self.mean_rung
        most = max(pb.plan.floor, min(pb.top, round(mean) + 1))
        rung = pb.plan.floor
        while rung < most:
            mark = MARK if rung < len(self.terms.rates) // 2 else UP_MARK
            if self._load(node, now, self._adds(pb, node, rung + 1)) > mark:
                break
            rung += 1
        return rung

    def _send(self, pb: Playback, node: Node, rung: int, now: int) -> None:
        """Sends a setup try to a node, with a time limit that leaves time for a retry where one may follow."""
        if rung != pb.rung:
            pb.rung = rung
            self.host.set_rung(pb, rung)
        if pb.tries:
            self._count(self.further, now)
        slot = self._slot(node, now)[0]
        if slot != node.slot:
            node.slot, node.slot_used = slot, 0
        node.slot_used += 1
        until = pb.abandon - 10 * MS
        if pb.plan.effect is not Effect.PAID and len(pb.tries) + 1 < self.terms.most_tries:
            until = min(until, now + int(pb.plan.startup_target * TRY_SHARE))
        pb.tries.append((node, now))
        self._change(pb, State.SETTING_UP, now, node)
        self.host.send(pb, node, until)

    def _may_try(self, pb: Playback, node: Node, now: int) -> bool:
        """Whether the rules, the failure score and the cold pace allow a try on this node now."""
        if node.listing is not Listing.READY or any(n is node for n, _ in pb.tries):
            return False
        if pb.admits is not None and not pb.admits(node):
            return False
        if not all(self._repeats_safely(pb, ran, at, node, now) for ran, at in pb.may_have_run):
            return False
        return self._trusted(pb, node, now) and self._warm_enough(pb, node, now)

    def _trusted(self, pb: Playback, node: Node, now: int) -> bool:
        """Whether the failures of a node allow a try.

        Keeps set-ups off nodes that are dead, silent, hung or cut off before the node list says so, whatever leaves
        set-ups unanswered. A single try of a free plan may go to a node whose score is under twice the limit; otherwise
        a few nodes with one failure each would cause every request to be rejected. Drawback: a good node that answers
        slowly is idle until its score has decayed.
        """
        if self._sound(node, now):
            return True
        faint = node.distrust.read(now, DISTRUST_HALF) < 2 * DISTRUSTED
        return faint and not node.waiting and pb.plan.effect is Effect.FREE

    def _sound(self, node: Node, now: int) -> bool:
        """Whether a node answers in time and its failure score is under the limit."""
        answers = all(now - at <= SILENT for at in node.waiting.values())
        return answers and node.distrust.read(now, DISTRUST_HALF) < DISTRUSTED

    def _age(self, node: Node, now: int) -> int:
        """Time for which a node has certainly been up without a failure seen here.

        Right after its own start a front end can't know it, except for nodes with a playback handed over to it.
        """
        if now - self.started < UNHEARD and not node.handed_over:
            return 0
        return max(0, now - max(node.started_at, node.failed_at))

    def _slot(self, node: Node, now: int) -> tuple[int, int]:
        """Number of the running time slot, and the set-ups that all front ends together may send a cold node in it."""
        terms = self.terms
        age = min(self._age(node, now), terms.cold_for)
        share = terms.cold_share + (1 - terms.cold_share) * (age / max(1, terms.cold_for)) ** 2
        pace = terms.fall_multiple * share * node.places / max(1, terms.cold_for)  # set-ups per ns
        allowed = int(COLD_PART * pace * terms.fall_window)
        if allowed >= 1:
            return now // terms.fall_window, allowed
        length = int(2 * max(terms.fall_window, 1 / max(pace, 1e-15)))
        return now // length, 1 if now % length < length // 2 else 0

    def _warm_enough(self, pb: Playback, node: Node, now: int) -> bool:
        """Whether a node is warm, or the cold pace allows a try on it now.

        Keeps all front ends together from overloading a node that has just started. Each sends only in its own time
        slots. A slot is shared by as many front ends as the budget holds set-ups, and its front ends differ from node to
        node; any overload window overlaps at most two slots. Applies to nodes that this front end saw fail as well, and
        right after its own start to all nodes but those with a playback handed over to it. Drawback: a warm node that
        failed is paced, too.
        """
        if self._age(node, now) >= self.terms.cold_for:
            return True
        slot, allowed = self._slot(node, now)
        turns = -(-self.terms.fronts // allowed) if allowed else 0  # one slot in so many is this front end's
        if turns and not (slot + self.terms.front + digest(node.name)) % turns:
            return (node.slot_used if slot == node.slot else 0) < max(1, allowed // self.terms.fronts)
        # The front end whose slot it is seldom has a request. Where the budget is large enough for random set-ups to stay
        # under it, the others may send as well, at a probability with which all of them, if as busy as this one and
        # asked for this title, use half the slot's budget.
        # Shortly after its start a front end has counted only part of its usual requests. The count is scaled up for
        # that; a single first request is not yet a rate.
        seen = 1 - 0.5 ** max(1.0, (now - self.started) / self.terms.fall_window)
        busy = self.asked.read(now, self.terms.fall_window) / seen
        each = UNEVEN * busy / len(self._holders(pb.title))
        return allowed >= FREELY and self.rng.random() * each * self.terms.fronts < allowed / 2

    def _repeats_safely(self, pb: Playback, ran: Node, at: int, node: Node, now: int) -> bool:
        """Whether a set-up may be repeated on `node` although one sent to another node may have run."""
        plan = pb.plan
        if plan.effect is Effect.FREE:
            return True
        if plan.effect is Effect.PAID or now - at >= plan.key_lasts:
            return False
        same = {Group.ALL: True, Group.ZONE: node.zone == ran.zone, Group.CELL: node.cell == ran.cell}
        return same[plan.group]

    def _may_try_again(self, pb: Playback, now: int) -> bool:
        """Whether the number of tries, the viewer's abandon time and the retry budget allow another try."""
        terms = self.terms
        if len(pb.tries) >= terms.most_tries or now >= pb.abandon - 20 * MS:
            return False
        if terms.tries_free is None:
            return True
        while self.taken and self.taken[0] <= now - terms.tries_window:
            self.taken.popleft()
        while self.further and self.further[0] < now - terms.tries_window:
            self.further.popleft()
        return len(self.further) + 1 <= terms.tries_free + terms.tries_share * len(self.taken)

    def _count(self, times: deque[int], now: int) -> None:
        """Adds a time to the window of the retry budget, where there is a budget.

        Drops what has left the window: a front end whose tries seldom fail would otherwise keep all times.
        """
        if self.terms.tries_free is not None:
            times.append(now)
            while times[0] < now - self.terms.tries_window:
                times.popleft()

    def _give_up(self, pb: Playback, now: int) -> None:
        """Gives the final answer: a rejection, or an abort where a paid or keyed set-up may have run."""
        plan = pb.plan
        harmless = plan.effect is Effect.KEYED and plan.group is Group.ALL
        if pb.may_have_run and plan.effect is not Effect.FREE and not harmless:
            self._change(pb, State.ABORTED, now)
            self.host.abort(pb)
        else:
            self._change(pb, State.REJECTED, now)
            self.host.reject(pb, min(self.terms.stay_away_most, INTERVAL))

    # Tries and playbacks.

    def resumed(self, pb: Playback, node: Node, now: int) -> None:
        """Takes over a playback that was handed over at the start and plays already."""
        if pb.state is not State.ARRIVED:
            return
        pb.tries.append((node, now))
        node.handed_over = True
        self.held_then[0] = (now, self.held + self._rate(pb, pb.rung))
        self._change(pb, State.PLAYING, now, node)

    def recalled(self, further: Iterable[int], spent: Iterable[Node], now: int) -> None:
        """Takes over what an earlier process of this front end did.

        `retry_times` count in the retry budget; the running time slot of `nodes_with_spent_slot` is used up.
        """
        self.further.extend(further)
        for node in spent:
            node.slot, node.slot_used = self._slot(node, now)[0], SPENT

    def playing(self, pb: Playback, now: int) -> None:
        """Handles a successful set-up; ignored when repeated, or after the playback has ended."""
        if pb.state is State.SETTING_UP:
            pb.fresh = True
            self._change(pb, State.PLAYING, now)

    def tried(
        self, pb: Playback, outcome: Outcome, closed: bool,
        asked: float | None, used: float | None, uplink: float | None, now: int,
    ) -> None:  # fmt: skip
        """Handles the end of a setup try or of the playback that it started.

        `is_closed` says that no more comes of the playback. `link_load` is the demand on the link over its capacity,
        `link_used` the same capped at 1, `uplink_load` that of the rack's uplink. Ignored where no try is out and
        nothing plays: the event is a duplicate or late.
        """
        node, state = pb.node, pb.state
        if node is None or state not in HOLDS:
            return
        if asked is not None:
            self._report(node, asked, AGE, now)
        elif used is not None and (used < 0.99 or node.level < 1):
            self._report(node, used, AGE, now)  # capped at 1; a higher known load stands
        if uplink is not None:
            self._uplink_report(node.rack, uplink)
        proven = outcome in (Outcome.FULL, Outcome.NO_CONNECTION, Outcome.NOT_SENT)
        if outcome in (Outcome.NO_CONNECTION, Outcome.RESET, Outcome.LATE):
            if outcome is not Outcome.LATE or node.distrust.read(now, DISTRUST_HALF) > 1:
                node.failed_at = now
            node.distrust.add(1.0, now, DISTRUST_HALF)
        elif outcome is Outcome.ERROR and pb.title.played:
            # Only for titles that have played: requests for titles that don't exist would otherwise raise the score
            # of good nodes. Drawback: a node that answers everything with errors is found only once it is asked for a
            # title that has played.
            node.distrust.add(0.4, now, DISTRUST_HALF)
        elif outcome is Outcome.FULL:
            # It holds as many playbacks as it can, even if its link has room.
            self._report(node, max(node.level, T1), 0, now, inferred=True)
        if closed or state is not State.SETTING_UP:
            self._change(pb, State.ENDED, now)
            return
        if not proven:
            pb.may_have_run.append(pb.tries[-1])
        self._change(pb, State.BETWEEN, now)
        if self._may_try_again(pb, now):
            self._place(pb, now)
        else:
            self._give_up(pb, now)

    def left(self, pb: Playback, now: int) -> None:
        """Handles the leaving of a viewer; the end of a try that is out is still reported."""
        if pb.state in (State.SETTING_UP, State.PLAYING):
            self._change(pb, State.CLOSED, now)
        elif pb.state is State.ARRIVED:
            self._change(pb, State.ENDED, now)

    def over(self, pb: Playback) -> bool:
        """Whether a playback is in a final state."""
        return pb.state not in NEXT

    def _change(self, pb: Playback, state: State, now: int, node: Node | None = None) -> None:
        """Changes the state of a playback, and the seats and loads with it; nothing else does.

        Raises ValueError for a transition that is not allowed.
        """
        if state not in NEXT.get(pb.state, ()):
            raise ValueError(f"a playback cannot go from {pb.state.value} to {state.value}")
        held, pb.state = pb.state in HOLDS, state
        if node:
            pb.node = node
        at = pb.node
        if at is None:
            return
        pb.title.played |= state is State.PLAYING
        if state is State.SETTING_UP:
            at.waiting[pb] = now
        else:
            at.waiting.pop(pb, None)
        if held != (state in HOLDS):
            sign = -1 if held else 1
            seats = pb.title.seats
            seats[pb.plan] = seats.get(pb.plan, 0) + sign
            if held:
                del at.playbacks[pb]
            else:
                at.playbacks[pb] = None
            self.held += sign * self._rate(pb, pb.rung)
            self._shift(at, sign * self._rate(pb, pb.rung), now)


# The paper's formulas.


def digest(text: str) -> int:
    """64-bit hash of a text; the same on all front ends and in all processes."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")


def forecast(samples: Sequence[float]) -> float:
    """Next value on the line fitted to equally spaced samples by least squares, at least 0."""
    n = len(samples)
    mean = sum(samples) / n
    if n < 2:
        return mean
    mid = (n - 1) / 2
    slope = sum((i - mid) * s for i, s in enumerate(samples)) / sum((i - mid) ** 2 for i in range(n))
    return max(0.0, mean + slope * (n - mid))


def cluster_load(loads: list[float]) -> float:
    """The paper's l_c: alpha times the mean plus 1 - alpha times the variance."""
    mean = sum(loads) / len(loads)
    return ALPHA * mean + (1 - ALPHA) * sum((v - mean) ** 2 for v in loads) / len(loads)


def blend(err: float, predicted: float, measured: float) -> float:
    """The paper's x: the mean of measured and predicted load, weighted by the error of the last prediction."""
    return (1 - err) * predicted + err * measured


def refusal_probability(x: float, t2: float) -> float:
    """Probability of a rejection: 0 up to T1, 1 from T2 on, linear in the band between them."""
    if x <= T1:
        return 0.0
    return 1.0 if x >= t2 else (x - T1) / (t2 - T1)


def step_down_probability(x: float, t3: float) -> float:
    """The paper's max(pu, 1 - pu), where pu = 1 - |(x - T3) / (C - T3)|, kept within 0 and 1."""
    pu = 1 - min(1.0, abs((x - t3) / (FULL - t3)))
    return max(pu, 1 - pu)
