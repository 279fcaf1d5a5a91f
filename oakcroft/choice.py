"""Every decision of oakcroft: who plays, on which playout node and at what rung.

A host (types and Protocols in `oakcroft/interface.py`) makes one `Controller` per front end from its
`Terms`, a seed and itself, then calls `listed`, `arrived`, `resumed`, `playing`, `noted`, `tried`, `left`
and `alarm` as things happen; the module answers by calling the host within the same call.

The design (SA2C, docs/design.md) decides the ordinary path: `_interval` samples, fits and blends the load
into x, moves the marks and steps playing rungs; `arrived` refuses in the band; `_place` picks the holder
and the rung.

Mechanisms beside the design, six at most:
1 distrust  failed or unanswered set-ups make a node lose its turn until the score fades;
2 cold pace a node that may just have started gets set-ups only in this front's turn, or by a small chance;
3 tries     what an outcome proves, when a further try may follow, and how long one may take;
4 squeeze   short-delivery notes raise a node's load, or its rack's, past what reports can say;
5 sampling  a front is one sample of all: its own set-ups, losses and steps count for the others, and links
            that tell nothing are taken as usual and passed over as often as there are such;
6 evenness  nobody starts or steps up further than about a rung over what plays already.
"""

from __future__ import annotations

import hashlib
from collections import deque
from collections.abc import Iterable, Sequence
from random import Random

from oakcroft.interface import MS, SECOND, Effect, Entry, Fading, Group, Host, Listing, ListKind, Node, Note
from oakcroft.interface import Outcome, Playback, Rack, State, Terms, Title

# The design's open constants.
INTERVAL = SECOND  # between samples
WINDOW = 5  # samples in the fit
ALPHA = 0.95  # mean against variance
T1, T2, T3, FULL = 0.92, 1.30, 1.02, 1.50  # marks on x; FULL is the paper's C
MARK = 0.90  # on a link: set-ups stay under it
UP_MARK = 0.70  # the same for starts in the ladder's upper half, and for step-ups: well clear of T3
REST = 8 * SECOND  # between a playback's change of rung and its next step up
MOVE = 0.10  # of a mark's gap to T1, at most, in an interval
PACE, DOWN_PACE = 0.15, 0.25  # of the playbacks concerned, at most, in an interval, up and down

DISTRUST_HALF, DISTRUSTED = 4 * SECOND, 0.7  # a node is out from this score on
SILENT = 600 * MS  # an unanswered set-up older than this speaks against its node
TRY_SHARE = 0.4  # of the startup target, for a try that may be followed by another
FREELY, UNEVEN = 4, 3  # set-ups in a cold slot that leave room for chance; how uneven nodes are wanted
COLD_PART = 0.45  # of the budget of a slot of time: two slots may fall into one window
AGE = 300 * MS  # of a report that comes with an answer
NOTED = 2 * SECOND  # a note of short delivery holds so long
RELAX, TIGHTEST, LOOSEST, TIGHT = 0.94, 2.0, 0.5, 1.1  # of a rack's estimate; the last is logged
CROWDED = 1.2  # a link past this has lost capacity: its rack carries no more than that
SHORT, DEAD = 0.98, 0.2  # delivery under this is short; that of a node that stands still
UNHEARD = 6 * SECOND  # after its start, a front can't know which nodes are warm
TOO_OLD = 2 * SECOND  # past its due time, a report is stale
LIKE = 4  # how alike the loads of links are: the number of fronts whose view counts as much as the mean
SPENT = 1 << 30  # set-ups in a slot of which nothing is left
USUAL = 0.7  # load taken for a link while none has told


NEXT = {
    State.ARRIVED: {State.SETTING_UP, State.PLAYING, State.REJECTED, State.ABORTED, State.ENDED},
    State.SETTING_UP: {State.PLAYING, State.BETWEEN, State.CLOSED, State.ENDED},
    State.BETWEEN: {State.SETTING_UP, State.REJECTED, State.ABORTED},
    State.PLAYING: {State.CLOSED, State.ENDED},
    State.CLOSED: {State.ENDED},
}
HOLDS = {State.SETTING_UP, State.PLAYING, State.CLOSED}


class Controller:
    """The decisions of one front end."""

    def __init__(self, terms: Terms, seed: int, host: Host, now: int) -> None:
        self.terms, self.host, self.rng = terms, host, Random(seed)
        self.started, self.racks = now, [Rack() for _ in range(terms.racks)]
        self.nodes: dict[Node, None] = {}
        self.version, self.asked_at, self.following = 0, now, False
        self.wakes = now + INTERVAL  # when the running interval ends
        self.t2, self.t3, self.x, self.err, self.predicted = T2, T3, 0.0, 1.0, 0.0
        self.usual = USUAL  # load of a link that tells nothing: the mean of those that do
        self.any_told = False  # `usual` is such a mean, not yet `_untold`
        self.due = terms.reports_every + terms.seen_after + TOO_OLD  # age of a report that is still fresh
        self.blind, self.mean_rung = 0.0, self._middle()  # how few nodes tell; of own playbacks
        self.held, self.links = 0.0, 1.0  # kB a second of own playbacks, and of all links
        self.held_then = deque([(now, 0.0)], maxlen=12)  # at the ends of intervals
        self.mode, self.asked = "open", Fading()  # and requests of late
        self.taken, self.further = deque[int](), deque[int]()
        if terms.must_follow:
            host.follow()
        host.alarm(self.wakes)

    # The list of playout nodes.

    def listed(self, kind: ListKind, entries: Iterable[Entry], now: int) -> None:
        """Takes in the list, or its changes."""
        self.following = kind in (ListKind.CHANGES, ListKind.WHOLE)
        if kind is ListKind.FAILED:
            return  # `alarm` asks again
        missing = dict(self.nodes) if kind is not ListKind.CHANGES else {}
        for e in entries:
            node = e.node
            missing.pop(node, None)
            # A list that comes late, or whose clock is ahead, may neither warm a node up nor keep it cold
            # for ever.
            started_at = min(e.started_at, now)
            if started_at > node.started_at:  # a new process: nothing known of the old one holds
                node.distrust.clear()
                # Empty; but if each of many fronts knew of no emptier one, all would go there.
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
        """The nodes that hold a title, in the hash order that all fronts share."""
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
        rates = pb.title.rates or self.terms.rates
        return rates[min(rung, len(rates) - 1)] * pb.plan.rate_factor

    def _adds(self, pb: Playback, node: Node, rung: int) -> float:
        """What a set-up would add here: less where it joins a stream that runs."""
        same = ((other.title, other.plan, other.rung) for other in node.playbacks)
        joins = pb.plan.shares_stream and (pb.title, pb.plan, rung) in same
        return self._rate(pb, rung) * (self.terms.join_adds if joins else 1.0)

    def _level(self, node: Node) -> float:
        """Asked of the link over what it gives: the last report and own changes since."""
        if not node.heard:
            own = sum(self._rate(pb, pb.rung) for pb in node.playbacks)
            # One playback of many fronts' says little of what the others have there.
            over = own * self.terms.fronts / node.link - self.usual
            return self.usual + over / (1 + self.terms.fronts / LIKE)
        since = sum(kb for at, kb in node.own if at > node.reported_at) / node.link
        return max(0.0, node.reported + since + self._unseen(node.reported_at))

    def _untold(self) -> float:
        """The load of links of which none has told: usual for whichever is tighter, link or uplink. Guards against
        racks that look full on a guess alone, where all of a rack's links give more than its uplink. Harm: a fleet
        that is full is learnt from short notes only."""
        through = self.terms.uplink * self.terms.racks / self.links if self.terms.uplink > 0 else 1.0
        return USUAL * min(1.0, through)

    def _unseen(self, at: int) -> float:
        """What the other fronts have added to a link since then, as this front's set-ups and losses tell.

        Guards against crowds that come between two reports, and against remembering links as full that a
        loss has emptied; covers any swing that all fronts see. Harm: viewers that change fronts count as new.
        """
        then = next((kb for t, kb in reversed(self.held_then) if t <= at), self.held_then[0][1])
        net, unit = self.held - then, self.terms.rates[len(self.terms.rates) // 2]
        sure = abs(net) / (abs(net) + unit)  # one playback alone may be chance
        return sure * net * (self.terms.fronts - 1) / self.links

    def _carry(self) -> None:
        for rack in self.racks:
            rack.carried = sum(min(n.level, CROWDED) * n.link for n in rack.nodes)

    def _load(self, node: Node, now: int, more: float = 0.0) -> float:
        """The load that a playback on this node feels, with `more` kB a second added."""
        crowd = self._unseen(self.held_then[-1][0])
        load = node.level + more / node.link + crowd
        if self.terms.uplink > 0:
            load = max(load, (node.rack.carried + more) * node.rack.tight / self.terms.uplink + crowd)
        return load

    def _shift(self, node: Node, kb: float, now: int) -> None:
        """A change of what a node carries that no report has told of yet."""
        node.own.append((now, kb))
        while node.own[0][0] < now - 8 * SECOND:
            node.own.popleft()
        node.level = max(0.0, node.level + kb / node.link)
        node.rack.carried += kb

    def _report(self, node: Node, value: float, age: int, now: int, inferred: bool = False) -> None:
        """A report of what is asked of a link, as it was `age` ago; `inferred`: from what its node did, not told."""
        if now - age < node.reported_at and not node.told:
            return
        old = node.level
        node.heard, node.reported, node.reported_at, node.told = True, value, now - age, False
        node.reports |= not inferred
        node.level = self._level(node)
        node.rack.carried += (min(node.level, CROWDED) - min(old, CROWDED)) * node.link

    def told(self, node: Node, asked: float, age: int, now: int) -> None:
        """What another front heard of a link, `age` ago. It is taken where this front's own traffic tells nothing of the
        link any more, and whatever that tells next replaces it."""
        own = node.heard and not node.told and now - node.reported_at <= self.terms.reports_every + TOO_OLD
        if not own and now - age > (node.reported_at if node.heard else 0):
            self._report(node, asked, age, now)
            node.told = True

    def _uplink_report(self, rack: Rack, value: float) -> None:
        if rack.carried > 0 and self.terms.uplink > 0:
            rack.tight = min(TIGHTEST, max(LOOSEST, value * self.terms.uplink / rack.carried))

    def noted(self, pb: Playback, kind: Note, value: float, now: int) -> None:
        """News on one playback, which mostly speaks of its node. On one that holds no place there it comes
        too late, or too early, to be believed."""
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
                node.distrust.add(1.0, now, DISTRUST_HALF)  # not a full link, but one that gives nothing
                return
            node.short, node.short_at = value, now if value < SHORT else node.short_at - NOTED
            alone = self._squeeze(node, now)
            if value < SHORT and alone and 1 / max(value, 0.2) > node.level + 0.05:
                self._report(node, 1 / max(value, 0.2), self.terms.seen_after, now, inferred=True)

    def _squeeze(self, node: Node, now: int) -> bool:
        """Whether short delivery is the node's own. An uplink gives all its nodes the same share at most, so
        the best-off node tells how far past it is; a lone node goes by whether its link's load explains it.

        Guards against uplinks that give less than their mean, which no report tells; covers any bottleneck
        behind several nodes. Harm: a rack whose links are all too full looks tight until that relaxes.
        """
        rack = node.rack
        shares = [n.short if now - n.short_at < NOTED else 1.0 for n in rack.nodes if n.playbacks]
        carried = max(rack.carried, *rack.lately)  # the note is late: it tells of what was carried then
        explained = len(shares) < 2 and 1 / max(shares) < max([node.level, *node.samples[-3:]]) + 0.1
        if explained or max(shares) >= SHORT or carried <= 0 or self.terms.uplink <= 0:
            return True
        rack.tight = min(TIGHTEST, max(rack.tight, self.terms.uplink / max(shares) / carried))
        return False

    # The design's interval.

    def alarm(self, now: int) -> None:
        """The interval is over. One that comes twice would run two chains of intervals from then on."""
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
        listed = [n for n in self.nodes if n.listing is Listing.READY]
        if not listed:
            return
        # A node that answers nothing carries no load: counted as full it would shut the door to the others.
        ready = [n for n in listed if self._sound(n, now)] or listed
        self._log_health(listed, now)
        fresh = [n for n in ready if n.heard and now - n.reported_at <= self.due]
        # Guards against taking the few links that are found full, and no others, for all, where nodes report
        # nothing. Harm: a fleet that is full all over is learnt there node by node.
        if not any(n.reports for n in fresh):
            fresh = []
        silent = 1 - len(fresh) / len(ready)  # few silent nodes are no reason to stray, many are
        self.blind = silent**3 / (silent**3 + (1 - silent) ** 3)
        if fresh:
            self.usual, self.any_told = sum(n.level for n in fresh) / len(fresh), True
        if now - self.started <= UNHEARD:
            self.held_then.clear()
        self.held_then.append((now, self.held))
        for node in self.nodes:
            if now - node.reported_at > self.due:  # nobody tells of it any more
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
        """Playing rungs go down past T3 and up under T1, at a bounded pace."""
        rungs = [pb.rung for node in ready for pb in node.playbacks]
        self.mean_rung = sum(rungs) / len(rungs) if rungs else self._middle()
        for node in [n for n in ready if n.playbacks]:
            playing = [pb for pb in node.playbacks if pb.state is State.PLAYING]
            load = self._load(node, now)
            mark = T1 if now - node.short_at < NOTED else self.t3  # short notes carry no noise
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
        """Closes a gap of kB a second that every front sees: the others are taken to step likewise, and each
        takes its part by chance, or many that hold one playback each would overshoot together. Covers any
        number of fronts. Harm: chance may leave a front alone on a link slower."""
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
        """Revenue that the step between a rung and the next is worth, for each kB a second."""
        worth = pb.plan.revenue * (self.terms.rung_worth[low + 1] - self.terms.rung_worth[low])
        return worth / max(1.0, self._rate(pb, low + 1) - self._rate(pb, low))

    # Requests.

    def arrived(self, pb: Playback, now: int) -> None:
        """A request is refused in the band, or placed. One that is known is not taken again."""
        if pb.state is not State.ARRIVED:
            return
        if now >= pb.abandon:  # nobody waits any more: nothing is set up
            self._give_up(pb, now)
            return
        if pb.beside is not None and not self._may_try_again(pb, now):
            self._give_up(pb, now)
            return
        self._count(self.taken if pb.beside is None else self.further, now)  # a copy is a further try
        self.asked.add(1.0, now, self.terms.fall_window)
        if not pb.moved and self.rng.random() < refusal_probability(self.x, self.t2):
            self._give_up(pb, now)
        else:
            self._place(pb, now)

    def _place(self, pb: Playback, now: int) -> None:
        """The less used of the first two holders with room, at the highest rung under the mark."""
        plan = pb.plan
        two, unsure = list[Node](), list[Node]()
        if not plan.seats or pb.title.seats.get(plan, 0) < plan.seats:
            for node in self._holders(pb.title):
                low = self._adds(pb, node, plan.floor)
                if self._may_try(pb, node, now) and self._load(node, now, low) <= MARK:
                    # Guards against all fronts filling a title's first holders unseen: unless it tells of
                    # less than usual, one is passed over with the share of nodes that tell nothing, near none
                    # for few fronts. Harm: a title spreads over more holders than it needs.
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
        """The rung taken for usual by a front that plays nothing. Guards against whole fleets that come back at the
        ladder's foot, each for want of a playback to go by. Harm: with links full unheard, it starts too high."""
        return float((len(self.terms.rates) - 1) // 2)

    def _start_rung(self, pb: Playback, node: Node, now: int) -> int:
        """The highest rung that keeps the link under its mark, which is lower for the ladder's upper half;
        and at most one over what plays there, or on this front where few play there, or the first to come
        would take what the next lack. Covers fronts that know no load yet. Harm: a lone viewer starts low."""
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
        """Whether the rules and this front's trust let a try go to this node now."""
        if node.listing is not Listing.READY or any(n is node for n, _ in pb.tries):
            return False
        if pb.admits is not None and not pb.admits(node):
            return False
        if not all(self._repeats_safely(pb, ran, at, node, now) for ran, at in pb.may_have_run):
            return False
        return self._trusted(pb, node, now) and self._warm_enough(pb, node, now)

    def _trusted(self, pb: Playback, node: Node, now: int) -> bool:
        """Guards against nodes that are dead, silent, hung or cut off, before any list says so; covers all
        that leaves set-ups unanswered. A single free try goes where the score has faded half way, or few
        nodes with one failure each would shut the door. Harm: slow answers idle a good node until that."""
        if self._sound(node, now):
            return True
        faint = node.distrust.read(now, DISTRUST_HALF) < 2 * DISTRUSTED
        return faint and not node.waiting and pb.plan.effect is Effect.FREE

    def _sound(self, node: Node, now: int) -> bool:
        answers = all(now - at <= SILENT for at in node.waiting.values())
        return answers and node.distrust.read(now, DISTRUST_HALF) < DISTRUSTED

    def _age(self, node: Node, now: int) -> int:
        """How long a node has surely been up; a fresh front can't tell unless handed a playback there."""
        if now - self.started < UNHEARD and not node.handed_over:
            return 0
        return max(0, now - max(node.started_at, node.failed_at))

    def _slot(self, node: Node, now: int) -> tuple[int, int]:
        """The running slot of time, and how many set-ups it allows this front on a cold node."""
        terms = self.terms
        age = min(self._age(node, now), terms.cold_for)
        share = terms.cold_share + (1 - terms.cold_share) * (age / max(1, terms.cold_for)) ** 2
        pace = terms.fall_multiple * share * node.places / max(1, terms.cold_for)  # set-ups a ns
        allowed = int(COLD_PART * pace * terms.fall_window)
        if allowed >= 1:
            return now // terms.fall_window, allowed
        length = int(2 * max(terms.fall_window, 1 / max(pace, 1e-15)))
        return now // length, 1 if now % length < length // 2 else 0

    def _warm_enough(self, pb: Playback, node: Node, now: int) -> bool:
        """Guards against all fronts together pushing over a node that has just started: each sends only
        in its own slots of time, shared with as many fronts as the budget holds set-ups and differing from
        node to node, so that any window holds at most two slots. Covers nodes that this front saw fail, and
        all right after its own start but those it was handed. Harm: a warm node that failed is paced too."""
        if self._age(node, now) >= self.terms.cold_for:
            return True
        slot, allowed = self._slot(node, now)
        turns = -(-self.terms.fronts // allowed) if allowed else 0  # every so many slots it is this front's
        if turns and not (slot + self.terms.front + digest(node.name)) % turns:
            return (node.slot_used if slot == node.slot else 0) < max(1, allowed // self.terms.fronts)
        # Seldom has the front in turn a request. Where the budget is large enough for chance to stay under
        # it, others may send too: so many that all, as busy and asked for this title, make up half a part.
        # After its start a front has seen but a share of what it is asked in such a time; its first is no rate.
        seen = 1 - 0.5 ** max(1.0, (now - self.started) / self.terms.fall_window)
        busy = self.asked.read(now, self.terms.fall_window) / seen
        each = UNEVEN * busy / len(self._holders(pb.title))
        return allowed >= FREELY and self.rng.random() * each * self.terms.fronts < allowed / 2

    def _repeats_safely(self, pb: Playback, ran: Node, at: int, node: Node, now: int) -> bool:
        plan = pb.plan
        if plan.effect is Effect.FREE:
            return True
        if plan.effect is Effect.PAID or now - at >= plan.key_lasts:
            return False
        same = {Group.ALL: True, Group.ZONE: node.zone == ran.zone, Group.CELL: node.cell == ran.cell}
        return same[plan.group]

    def _may_try_again(self, pb: Playback, now: int) -> bool:
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
        """One more in the budget's window, where there is a budget; what has left the window is dropped, or a
        front whose tries seldom fail would keep them all."""
        if self.terms.tries_free is not None:
            times.append(now)
            while times[0] < now - self.terms.tries_window:
                times.popleft()

    def _give_up(self, pb: Playback, now: int) -> None:
        """The final answer, at once: rejected where no rule forbids it, else aborted."""
        plan = pb.plan
        harmless = plan.effect is Effect.KEYED and plan.group is Group.ALL
        if pb.may_have_run and plan.effect is not Effect.FREE and not harmless:
            self._change(pb, State.ABORTED, now)
            self.host.abort(pb)
        else:
            self._change(pb, State.REJECTED, now)
            self.host.reject(pb, min(self.terms.stay_away_most, INTERVAL))

    # What becomes of them.

    def resumed(self, pb: Playback, node: Node, now: int) -> None:
        """A playback handed over at the start; it plays already."""
        if pb.state is not State.ARRIVED:
            return
        pb.tries.append((node, now))
        node.handed_over = True
        self.held_then[0] = (now, self.held + self._rate(pb, pb.rung))
        self._change(pb, State.PLAYING, now, node)

    def recalled(self, further: Iterable[int], spent: Iterable[Node], now: int) -> None:
        """What an earlier life of this front did: further tries to count, and nodes whose running slot is
        used up."""
        self.further.extend(further)
        for node in spent:
            node.slot, node.slot_used = self._slot(node, now)[0], SPENT

    def playing(self, pb: Playback, now: int) -> None:
        """The set-up is done. Heard twice, or after the end, it changes nothing."""
        if pb.state is State.SETTING_UP:
            pb.fresh = True
            self._change(pb, State.PLAYING, now)

    def tried(
        self, pb: Playback, outcome: Outcome, closed: bool,
        asked: float | None, used: float | None, uplink: float | None, now: int,
    ) -> None:  # fmt: skip
        """A setup try, or the playback that it started, is over. Where none is out and nothing plays, it
        comes twice or too late."""
        node, state = pb.node, pb.state
        if node is None or state not in HOLDS:
            return
        if asked is not None:
            self._report(node, asked, AGE, now)
        elif used is not None and (used < 0.99 or node.level < 1):
            self._report(node, used, AGE, now)  # it stops at 1: past that the notes tell
        if uplink is not None:
            self._uplink_report(node.rack, uplink)
        proven = outcome in (Outcome.FULL, Outcome.NO_CONNECTION, Outcome.NOT_SENT)
        if outcome in (Outcome.NO_CONNECTION, Outcome.RESET, Outcome.LATE):
            if outcome is not Outcome.LATE or node.distrust.read(now, DISTRUST_HALF) > 1:
                node.failed_at = now
            node.distrust.add(1.0, now, DISTRUST_HALF)
        elif outcome is Outcome.ERROR and pb.title.played:
            # Guards against requests for what does not exist, which cost good nodes their standing. Harm: a
            # node that answers all with errors keeps it until it is asked for a title that has played.
            node.distrust.add(0.4, now, DISTRUST_HALF)
        elif outcome is Outcome.FULL:
            # All places are taken, though the link may have room.
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
        """The viewer has gone; a try that is out still reports."""
        if pb.state in (State.SETTING_UP, State.PLAYING):
            self._change(pb, State.CLOSED, now)
        elif pb.state is State.ARRIVED:
            self._change(pb, State.ENDED, now)

    def over(self, pb: Playback) -> bool:
        """Whether nothing more can come for a playback."""
        return pb.state not in NEXT

    def _change(self, pb: Playback, state: State, now: int, node: Node | None = None) -> None:
        """The one place where a playback changes state; seats and loads follow from it."""
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


# The design's formulas.


def digest(text: str) -> int:
    """The same number on all fronts."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")


def forecast(samples: Sequence[float]) -> float:
    """The next value on the straight line fitted to equally spaced samples."""
    n = len(samples)
    mean = sum(samples) / n
    if n < 2:
        return mean
    mid = (n - 1) / 2
    slope = sum((i - mid) * s for i, s in enumerate(samples)) / sum((i - mid) ** 2 for i in range(n))
    return max(0.0, mean + slope * (n - mid))


def cluster_load(loads: list[float]) -> float:
    """l_c: alpha times the mean and 1 - alpha times the variance."""
    mean = sum(loads) / len(loads)
    return ALPHA * mean + (1 - ALPHA) * sum((v - mean) ** 2 for v in loads) / len(loads)


def blend(err: float, predicted: float, measured: float) -> float:
    """x: predicted as far as the last prediction held, else measured."""
    return (1 - err) * predicted + err * measured


def refusal_probability(x: float, t2: float) -> float:
    """Nothing under T1, everything past T2, rising between."""
    if x <= T1:
        return 0.0
    return 1.0 if x >= t2 else (x - T1) / (t2 - T1)


def step_down_probability(x: float, t3: float) -> float:
    """max(pu, 1 - pu), pu = 1 - |(x - T3) / (C - T3)|, within 0 and 1."""
    pu = 1 - min(1.0, abs((x - t3) / (FULL - t3)))
    return max(pu, 1 - pu)
