"""One front's view of the fleet: who is there, as a state machine without sockets, clock or threads.

Time and chance come in with each call; what is to be sent stands in `out` and what has changed in `changes`, both to
be taken by the host after each call. Built from SWIM (probes, probes through others, suspicion, incarnations, news on
messages that are sent anyway), Lifeguard (suspicion that shortens with voices, a front's own health, telling the
accused first) and periodic exchange of whole views. What differs, and why, stands in docs/fleet.md; above all: nobody
is gone by hearsay. A word that a member is gone makes this front ask that member, with the word in the question, and
only its own clock ends a suspicion.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from enum import Enum
from random import Random

from oakcroft.decisions.membership.member import News, Standing, holds
from oakcroft.decisions.membership.failure_detector import EVERY, HELPERS, MOST_PROBES, Health, Probe, Round
from oakcroft.decisions.membership.dissemination import Spreading
from oakcroft.decisions.membership.suspicion import Suspicion
from oakcroft.interface import MS, SECOND

Address = tuple[str, int]

GOSSIP = 200 * MS  # between messages that only carry news, while there is any
FANOUT = 3  # members told by each round of them
MOST_NEWS = 12  # words on one message: what fits 1,400 octets
MOST_MEMBERS = 1_024
MOST_HELPING = 64  # questions put for others and still open
MOST_DOUBTS = 256
DOUBTS_AT_ONCE = 4
LOOK = 50 * MS  # between two of them
EXCHANGE_EVERY = 60 * SECOND  # whole views, to one other: two of 14 kB a minute at 200 members
EXCHANGE_APART = SECOND  # at least, between two of this front's own
MOST_EXCHANGES = 4
JOIN_EVERY = SECOND  # seeds are asked until somebody answers
REJOIN_EVERY = 2 * SECOND  # one that is gone, or a seed that is not seen, is asked whether it is there
STILL = SECOND  # without a turn: this front stood still
KEPT_GONE = 600 * SECOND
KEPT_LEFT = 86_400 * SECOND
MOST_FORMER = 256  # addresses of those that are forgotten, still asked now and then
TWIN_LOOK = 5 * SECOND
TIDY_EVERY = 10 * SECOND
PRESENT = (Standing.ALIVE, Standing.SUSPECTED)


class Kind(Enum):
    """What a message is for; the number is the wire's."""

    PING = 1
    ACK = 2
    ASK = 3  # put a question to `about` in my place
    TELL = 4  # news alone
    EXCHANGE = 5  # not a datagram: whole views by stream, to this address


@dataclass(frozen=True)
class Out:
    """A message to be sent. `to`: name and start that it is meant for ("" and 0: whoever is there)."""

    kind: Kind
    address: Address
    seq: int = 0
    to: tuple[str, int] = ("", 0)
    about: tuple[str, int, Address] | None = None
    news: Sequence[News] = ()


@dataclass(frozen=True)
class Change:
    """A change of the view, with its evidence."""

    name: str
    was: str
    now: str
    why: str


@dataclass
class Member:
    """One member as this front sees it. `since`: of its standing; `heard_at`: its own last message here (0: none)."""

    news: News
    since: int
    heard_at: int = 0
    suspicion: Suspicion | None = None
    comings: int = 0  # new starts, fewer as time passes
    came_at: int = 0


@dataclass
class Help:
    """A question put for another: whom to tell, under which number, until when."""

    address: Address
    to: tuple[str, int]
    seq: int
    until: int


@dataclass
class Twin:
    """Another process under this front's name."""

    news: News
    seq: int
    until: int
    missed: int = 0


@dataclass
class Counts:
    """What was dropped and why; for `fleet view` and metrics."""

    unsound: int = 0
    old_start: int = 0
    other_start: int = 0
    misaddressed: int = 0
    full: int = 0
    refuted: int = 0
    stood_still: int = 0
    refused_leaves: int = 0


class View:
    """The view of one front."""

    def __init__(self, me: News, secret: bytes, rng: Random, now: int, seeds: Iterable[Address] = ()) -> None:
        self.me, self.secret, self.rng = me, secret, rng
        self.members: dict[str, Member] = {me.name: Member(me, now)}
        self.suspects: dict[str, Member] = {}
        self.there: list[str] | None = None  # what `present` found last
        self.seeds = [s for s in dict.fromkeys(seeds) if s != me.address]
        self.out: list[Out] = []
        self.changes: list[Change] = []
        self.counts = Counts()
        self.spreading, self.round, self.health = Spreading(), Round(rng), Health()
        self.probes: dict[int, Probe] = {}
        self.helping: dict[int, Help] = {}
        self.doubts: dict[str, News] = {}
        self.former: dict[Address, None] = {}
        self.wanted: dict[Address, None] = {}  # exchanges
        self.twin: Twin | None = None
        self.bridge = ""  # whoever last put a question through
        self.displaced = self.left = self.joined = False
        self.last = now
        self.next_probe = now + rng.randrange(EVERY)
        self.next_gossip, self.next_join = now, now
        self.next_rejoin = now + rng.randrange(REJOIN_EVERY)
        self.next_exchange = now + rng.randrange(EXCHANGE_EVERY)
        self.exchanged_at = now - EXCHANGE_APART
        self.next_doubt = self.next_tidy = now
        self.spreading.add(me)

    # What is seen.

    def standing(self, name: str) -> Standing | None:
        """How a member stands; None where it is not known."""
        member = self.members.get(name)
        return member.news.standing if member is not None else None

    def present(self) -> list[str]:
        """Those taken to be there, this front among them, by name. Not to be changed."""
        if self.there is None:
            self.there = sorted(n for n, m in self.members.items() if m.news.standing in PRESENT)
        return self.there

    def _others(self, but: str = "") -> list[str]:
        return [n for n in self.present() if n not in (self.me.name, but)]

    def _some(self, most: int, but: str = "") -> list[str]:
        """Some of the others at random."""
        others = self._others(but)
        return self.rng.sample(others, min(most, len(others)))

    def gone_for_good(self) -> int:
        """How many have left in order, each by its own word."""
        return sum(m.news.standing is Standing.LEFT for m in self.members.values())

    def whole(self) -> list[News]:
        """All that this front would tell: its own word first."""
        return [self.me, *(m.news for n, m in sorted(self.members.items()) if n != self.me.name)]

    @property
    def due(self) -> int:
        """When `tick` has something to do at the latest."""
        slow = self.health.slow
        times = [self.next_probe, self.next_rejoin, self.next_exchange]
        times += [p.due(slow) for p in self.probes.values()]
        times += [self._ends(m.suspicion) for m in self.suspects.values() if m.suspicion is not None]
        if self.spreading.fresh:
            times.append(self.next_gossip)
        if self.doubts:
            times.append(self.next_doubt)
        if not self.joined and self.seeds:
            times.append(self.next_join)
        if self.wanted:
            times.append(self.exchanged_at + EXCHANGE_APART)
        if self.twin is not None:
            times.append(self.twin.until)
        return min(times)

    def _ends(self, suspicion: Suspicion) -> int:
        return suspicion.until(len(self.present()) - 2)

    # Time.

    def tick(self, now: int) -> None:
        """Does what is due."""
        stood, self.last = now - self.last, now
        if stood > STILL:
            self._stood_still(stood, now)
        if self.left:
            return
        self._twins(now)
        if self.displaced:
            self.next_probe = self.next_rejoin = self.next_exchange = now + SECOND
            self.next_gossip = self.next_doubt = now + SECOND
            return
        self._probes(now)
        self._suspicions(now)
        self._doubts(now)
        self._meet(now)
        if self.spreading.fresh and now >= self.next_gossip:
            self.next_gossip = now + GOSSIP
            for name in self._some(FANOUT):
                self._send(Kind.TELL, name)
        if now >= self.next_tidy:
            self.next_tidy = now + TIDY_EVERY
            self._tidy(now)

    def _tidy(self, now: int) -> None:
        for name, member in list(self.members.items()):
            kept = {Standing.GONE: KEPT_GONE, Standing.LEFT: KEPT_LEFT}.get(member.news.standing)
            if kept is not None and now - member.since > kept:
                self._forget(name)

    def _stood_still(self, stood: int, now: int) -> None:
        """Guards against declaring the rest dead after a pause of this process: its own probes and suspicions ran out
        while it could hear nobody. Covers a stopped machine, a long collection, a starved core."""
        self.counts.stood_still += 1
        self.health.wrong()
        self.probes.clear()
        self.helping.clear()
        for member in self.suspects.values():
            if member.suspicion is not None:
                member.suspicion.stood_still(stood)
        self.next_probe = now

    def _probes(self, now: int) -> None:
        slow = self.health.slow
        for seq, probe in list(self.probes.items()):
            if now < probe.due(slow):
                continue
            member = self.members.get(probe.name)
            if member is None or member.news.standing in (Standing.GONE, Standing.LEFT):
                del self.probes[seq]
            elif probe.step < 2:
                probe.step += 1
                self._send(Kind.PING, probe.name, seq)
                if probe.step == 1:
                    self._ask_others(member.news, seq)
            else:
                del self.probes[seq]
                self._suspect(member, now)
        for seq, help_ in list(self.helping.items()):
            if now >= help_.until:
                del self.helping[seq]
        if now >= self.next_probe:
            self.next_probe = max(now, self.next_probe + EVERY)
            if (name := self.round.next(self.present, self._is_there)) is not None:
                self._probe(name, now)

    def _is_there(self, name: str) -> bool:
        member = self.members.get(name)
        return member is not None and member.news.standing in PRESENT and name != self.me.name

    def _probe(self, name: str, now: int) -> None:
        if len(self.probes) < MOST_PROBES and not any(p.name == name for p in self.probes.values()):
            seq = self.rng.getrandbits(48) + 1
            self.probes[seq] = Probe(name, seq, now)
            self._send(Kind.PING, name, seq)

    def _ask_others(self, about: News, seq: int) -> None:
        """Through some at random, and whoever last got through where this front did not: guards a member that only one
        other can reach."""
        chosen = self._some(HELPERS, about.name)
        if self._is_there(self.bridge) and self.bridge not in (about.name, *chosen):
            chosen[-1] = self.bridge
        for helper in chosen:
            self._send(Kind.ASK, helper, seq, about=(about.name, about.start, about.address))

    def _suspect(self, member: Member, now: int) -> None:
        """A probe of this front's own has failed."""
        if member.suspicion is not None:
            if member.suspicion.confirmed(self.me.name):
                self.spreading.add(member.news.of(Standing.SUSPECTED, self.me.name))
        elif member.news.standing is Standing.ALIVE:
            news = member.news.of(Standing.SUSPECTED, self.me.name)
            self._suspected(member, Suspicion(now, self.me.name, self.health.slow))
            self._stands(member, news, now, "no answer, through others neither")

    def _suspicions(self, now: int) -> None:
        for member in list(self.suspects.values()):
            suspicion = member.suspicion
            if suspicion is not None and now >= self._ends(suspicion):
                self._suspected(member, None)
                voices = sorted({suspicion.first, *suspicion.voices})
                self._stands(member, member.news.of(Standing.GONE, self.me.name), now,
                             f"suspected for {(now - suspicion.since) // MS} ms by {', '.join(voices)}")  # fmt: skip

    def _doubts(self, now: int) -> None:
        """Members that others call gone and this front does not: asked themselves, with the word in the question."""
        if not self.doubts or now < self.next_doubt:
            return
        self.next_doubt = now + LOOK
        for name in list(self.doubts)[:DOUBTS_AT_ONCE]:
            claim, member = self.doubts.pop(name), self.members.get(name)
            if member is not None and member.news.standing is Standing.ALIVE and holds(claim, member.news):
                self._probe(name, now)
                self._send(Kind.TELL, name, first=claim)

    def _meet(self, now: int) -> None:
        """Seeds, those that are gone, and whole views."""
        if not self.joined and self.seeds and now >= self.next_join:
            self.next_join = now + JOIN_EVERY + self.rng.randrange(JOIN_EVERY // 2)
            self._want(self.rng.choice(self.seeds))
        if now >= self.next_rejoin:
            self.next_rejoin = now + REJOIN_EVERY + self.rng.randrange(REJOIN_EVERY // 4)
            seen = {self.members[n].news.address for n in self.present()}
            gone = [m.news.address for m in self.members.values() if m.news.standing is Standing.GONE]
            absent = [a for a in dict.fromkeys([*gone, *self.seeds, *self.former]) if a not in seen]
            if absent:
                self.out.append(
                    Out(Kind.PING, self.rng.choice(absent), self.rng.getrandbits(48) + 1, news=self._news())
                )
        if now >= self.next_exchange:
            self.next_exchange = now + EXCHANGE_EVERY // 2 + self.rng.randrange(EXCHANGE_EVERY)
            for name in self._some(1):
                self._want(self.members[name].news.address)
        if self.wanted and now - self.exchanged_at >= EXCHANGE_APART:
            self.exchanged_at = now
            address = next(iter(self.wanted))
            del self.wanted[address]
            self.out.append(Out(Kind.EXCHANGE, address))

    def _want(self, address: Address) -> None:
        if len(self.wanted) < MOST_EXCHANGES:
            self.wanted[address] = None

    # What is heard.

    def heard(
        self, sender: News, kind: Kind, seq: int, to: tuple[str, int], about: tuple[str, int, Address] | None,
        news: Sequence[News], now: int,
    ) -> None:  # fmt: skip
        """A message: who sent it, by its own word, and what it brings."""
        if self.left or not self._sender(sender, kind, seq, now):
            return
        if kind is Kind.PING:
            self._asked(sender, seq, to)
        elif kind is Kind.ACK:
            self._answered(seq, sender.name)
        elif kind is Kind.ASK and about is not None and len(self.helping) < MOST_HELPING:
            own = self.rng.getrandbits(48) + 1
            self.helping[own] = Help(sender.address, (sender.name, sender.start), seq, now + SECOND)
            self.out.append(Out(Kind.PING, about[2], own, about[:2], news=self._news(self._claim(about[0]))))
        for word in news[:MOST_NEWS]:
            self._take(word, sender.name, now)

    def _sender(self, sender: News, kind: Kind, seq: int, now: int) -> bool:
        """Whether a message is to be followed; what it tells of its sender is taken."""
        if not sender.sound():
            self.counts.unsound += 1
            return False
        if sender.name == self.me.name:
            self._namesake(sender, kind, seq, now)
            return False
        known = self.members.get(sender.name)
        if known is not None and sender.start < known.news.start:
            # An older life, or what was recorded of it: it is told who has the name now, and changes nothing.
            self.counts.old_start += 1
            self.out.append(
                Out(Kind.TELL, sender.address, to=(sender.name, sender.start), news=self._news(known.news))
            )
            return False
        stranger = known is None or known.news.standing is Standing.GONE
        self._take(sender, sender.name, now)
        known = self.members.get(sender.name)
        if known is None:
            return False
        known.heard_at = now
        if stranger and known.news.standing is not Standing.LEFT:
            self._want(sender.address)
        if known.news.key > sender.key and kind is not Kind.PING:  # an answer to a ping tells it anyway
            self.out.append(Out(Kind.TELL, sender.address, to=(sender.name, sender.start), news=[known.news]))
        return True

    def _asked(self, sender: News, seq: int, to: tuple[str, int]) -> None:
        known = self.members[sender.name].news
        accused = known if known.key > sender.key else None
        to_sender = (sender.name, sender.start)
        if to[0] not in ("", self.me.name):
            self.counts.misaddressed += (
                1  # the address was another's: it is told who is here, and that is no answer
            )
            self.out.append(Out(Kind.TELL, sender.address, to=to_sender, news=self._news(accused)))
        elif to[1] not in (0, self.me.start):
            self.counts.other_start += 1
            self.out.append(Out(Kind.TELL, sender.address, to=to_sender, news=self._news(accused)))
        else:
            self.out.append(Out(Kind.ACK, sender.address, seq, to_sender, news=self._news(accused)))

    def _answered(self, seq: int, by: str) -> None:
        if (probe := self.probes.pop(seq, None)) is not None:
            self.health.right()
            if probe.name != by:
                self.bridge = by
        elif (help_ := self.helping.pop(seq, None)) is not None:
            self.out.append(Out(Kind.ACK, help_.address, help_.seq, help_.to, news=self._news()))

    def exchanged(self, sender: News, news: Sequence[News], now: int) -> None:
        """Another front's whole view."""
        if self.left:
            return
        if sender.name == self.me.name and sender.start == self.me.start:
            self.seeds = [s for s in self.seeds if s != sender.address]  # a seed that is this front
            return
        if not self._sender(sender, Kind.TELL, 0, now):
            return
        self.joined = True
        for word in news[:MOST_MEMBERS]:
            self._take(word, sender.name, now)

    def _take(self, told: News, by: str, now: int) -> None:
        """One word, by whoever brings it."""
        if not told.sound():
            self.counts.unsound += 1
            return
        if told.name == self.me.name:
            self._of_me(told, by, now)
            return
        member = self.members.get(told.name)
        if member is None:
            self._newcomer(told, by, now)
            return
        known = member.news
        if not holds(told, known):
            self._voice(member, told, by)
            if (
                told.standing is Standing.LEFT
                and known.standing is not Standing.LEFT
                and told.start == known.start
            ):
                self.counts.refused_leaves += 1
            return
        if told.standing is Standing.GONE and known.standing in (Standing.ALIVE, Standing.SUSPECTED):
            self._voice(member, told, by)
            if known.standing is Standing.ALIVE and len(self.doubts) < MOST_DOUBTS:
                self.doubts[told.name] = told
            return
        if told.standing is Standing.SUSPECTED:
            self._suspected(member, Suspicion(now, told.by or by))
            self._stands(member, told, now, f"suspected by {told.by or by}")
            return
        wrong = member.suspicion is not None and member.suspicion.first == self.me.name
        if wrong and told.standing is Standing.ALIVE:
            self.health.wrong()
        self._suspected(member, None)
        why = f"told by {by}" if by != told.name else "by its own word"
        if told.start > known.start:
            self._counted(member, now)
            why += ", a new start"
        self._stands(member, told, now, why)

    def _voice(self, member: Member, told: News, by: str) -> None:
        """Somebody else finds a suspected member wanting: it counts as one voice, whatever it says."""
        same = told.start == member.news.start and told.incarnation == member.news.incarnation
        if (
            member.suspicion is not None
            and same
            and told.standing in (Standing.SUSPECTED, Standing.GONE)
            and member.suspicion.confirmed(told.by or by)
        ):
            self.spreading.add(told.of(Standing.SUSPECTED, told.by or by))

    def _newcomer(self, told: News, by: str, now: int) -> None:
        if told.standing is Standing.GONE:
            return  # nothing to bury: kept by hearsay, the dead would be handed to and fro for ever
        if len(self.members) >= MOST_MEMBERS and not self._make_room():
            self.counts.full += 1
            return
        member = self.members[told.name] = Member(told, now)
        if told.standing is Standing.SUSPECTED:
            self._suspected(member, Suspicion(now, told.by or by))
        self.there = None
        self.former.pop(told.address, None)
        self.round.add(told.name)
        self.spreading.add(told)
        why = f"told by {by}" if by != told.name else "by its own word"
        self.changes.append(Change(told.name, "", told.standing.name.lower(), why))

    def _counted(self, member: Member, now: int) -> None:
        """A new start of a known member; those that come and go are told of more and more seldom."""
        member.comings = max(0, member.comings - (now - member.came_at) // (10 * SECOND)) + 1
        member.came_at = now

    def _suspected(self, member: Member, suspicion: Suspicion | None) -> None:
        member.suspicion = suspicion
        if suspicion is not None:
            self.suspects[member.news.name] = member
        else:
            self.suspects.pop(member.news.name, None)

    def _stands(self, member: Member, news: News, now: int, why: str) -> None:
        """The one place where a known member's standing changes."""
        was, member.news = member.news, news
        self.spreading.add(news)
        self.there = None
        if was.standing is not news.standing or was.start != news.start:
            member.since = now
            often = member.comings > 4 and member.comings & (member.comings - 1)
            if not often:
                more = f", {member.comings} starts of late" if member.comings > 4 else ""
                self.changes.append(
                    Change(news.name, was.standing.name.lower(), news.standing.name.lower(), why + more)
                )

    def _make_room(self) -> bool:
        """Guards the table against names without end: those that are gone or left go first, the longest first."""
        over = [m for m in self.members.values() if m.news.standing in (Standing.GONE, Standing.LEFT)]
        if not over:
            return False
        self._forget(min(over, key=lambda m: (m.since, m.news.name)).news.name)
        return True

    def _forget(self, name: str) -> None:
        member = self.members.pop(name)
        self.suspects.pop(name, None)
        self.there = None
        self.spreading.drop(name)
        if member.news.standing is Standing.GONE:
            self.former.pop(member.news.address, None)
            self.former[member.news.address] = None
            while len(self.former) > MOST_FORMER:
                del self.former[next(iter(self.former))]

    # Of this front itself.

    def _of_me(self, told: News, by: str, now: int) -> None:
        """What others say of this front."""
        if told.start == self.me.start:
            wrong = told.standing is not Standing.LEFT and told.key > self.me.key
            if wrong:
                self.counts.refuted += 1
                self._announce(replace(self.me, incarnation=told.incarnation + 1))
                if told.standing is not Standing.ALIVE:
                    self._say(told.standing.name.lower(), "alive", f"refuted what {told.by or by} said")
        elif told.start > self.me.start:
            if told.address == self.me.address or told.standing is Standing.LEFT:
                self._start_over(told, f"{by} knows a later start")
            elif self.twin is None or self.twin.news.start < told.start:
                self._look_for(told, now)

    def _announce(self, me: News) -> None:
        self.me = self.members[me.name].news = me
        self.spreading.add(me)

    def _start_over(self, former: News, why: str) -> None:
        """A life before this one had a higher number: the clock went back, or its file is lost."""
        self.twin, self.displaced = None, False
        self._announce(replace(self.me, start=former.start + 1, incarnation=0))
        self._say("alive", "alive", f"start {self.me.start}: {why}")

    def _look_for(self, other: News, now: int) -> None:
        """Asks at the address where this front's name is said to have a later start."""
        seq = self.rng.getrandbits(48) + 1
        self.twin = Twin(other, seq, now + 3 * SECOND)
        self.out.append(Out(Kind.PING, other.address, seq, (other.name, other.start), news=[self.me]))

    def _say(self, was: str, now: str, why: str) -> None:
        self.changes.append(Change(self.me.name, was, now, why))

    def _namesake(self, sender: News, kind: Kind, seq: int, now: int) -> None:
        """A message under this front's own name."""
        if sender.start == self.me.start and sender.address == self.me.address:
            return  # its own, come round
        other = f"another process under this name at {sender.host}:{sender.port}"
        if (sender.start, sender.address) < (self.me.start, self.me.address):
            if kind is Kind.PING:
                to = (sender.name, sender.start)
                self.out.append(Out(Kind.ACK, sender.address, seq, to, news=[self.me]))
            if sender.address != self.me.address:
                if self.twin is None or self.twin.news != sender:
                    self._say("alive", "alive", f"{other}, started earlier")
                self.twin = Twin(sender, 0, now + TWIN_LOOK)
        elif sender.address == self.me.address:
            self._start_over(sender, "an earlier life here had a later number")
        else:
            if not self.displaced:
                self.displaced = True
                self.probes.clear()
                self._say("alive", "displaced", f"{other}, started later")
            self.twin = Twin(sender, 0, now + TWIN_LOOK)

    def _twins(self, now: int) -> None:
        """The other process under this name did not answer, or is to be asked again."""
        twin = self.twin
        if twin is None or now < twin.until:
            return
        if (twin.news.start, twin.news.address) < (self.me.start, self.me.address):
            self.twin = None  # the earlier one has not been heard of for long
        elif twin.seq and (twin.missed >= 2 or not self.displaced):
            self._start_over(twin.news, f"nobody answers at {twin.news.host}:{twin.news.port}")
        else:
            missed = twin.missed + 1 if twin.seq else 0
            self._look_for(twin.news, now)
            self.twin = replace(self.twin, missed=missed) if self.twin is not None else None

    def leave(self) -> None:
        """This front leaves in order: its last word, with the secret that proves it, to some of the others."""
        if self.left or self.displaced:
            return
        gone = replace(self.me, standing=Standing.LEFT, proof=self.secret)
        self.me = self.members[self.me.name].news = gone
        self.there = None
        for name in self._some(4 * FANOUT):
            self.out.append(Out(Kind.TELL, self.members[name].news.address, news=[gone]))
        self.left = True

    # Messages.

    def _claim(self, name: str) -> News | None:
        """What this front holds against a member, for it to refute."""
        member = self.members.get(name)
        return member.news if member is not None and member.news.standing is not Standing.ALIVE else None

    def _news(self, first: News | None = None) -> list[News]:
        """What goes along: what the addressee must hear, then what is on its way round."""
        some = self.spreading.take(MOST_NEWS - (first is not None), len(self.members))
        return [first, *some] if first is not None else some

    def _send(
        self, kind: Kind, name: str, seq: int = 0, about: tuple[str, int, Address] | None = None,
        first: News | None = None,
    ) -> None:  # fmt: skip
        news = self.members[name].news
        self.out.append(
            Out(kind, news.address, seq, (name, news.start), about, self._news(first or self._claim(name)))
        )
