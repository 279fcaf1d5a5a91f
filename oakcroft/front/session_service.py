"""Session operations that all signalling protocols share.

The service takes requests for playbacks, gives each its one answer, and changes and ends sessions; it knows
neither HTTP nor WebSocket. The WHIP and WHEP adapter and the session API adapter call it, and neither knows
the other.
"""

from __future__ import annotations

import hashlib
import secrets
from dataclasses import dataclass, field
from functools import partial
from urllib.parse import unquote

import structlog
import trio

from oakcroft.config.settings import Site, Token
from oakcroft.decisions.sessions import answers
from oakcroft.decisions.routing import ladder
from oakcroft.decisions.sessions.answers import REFUSALS, Final, Refusal, Reply
from oakcroft.decisions.admission.connection_limits import SHORTEST_SETUP, Door, Queue, slow_reader
from oakcroft.decisions.moving.handover import Course, Happening
from oakcroft.decisions.admission.request_limits import Over, Party
from oakcroft.decisions.admission.deadlines import BEAT, due, hopeless, margin
from oakcroft.decisions.sessions.idempotency import Turn
from oakcroft.decisions.sessions.session_resource import SDPFRAG, Act, Said
from oakcroft.decisions.routing.route_table import Asked, Route, Side, Why, refuses
from oakcroft.decisions.admission.load_shedding import Line, Waiting, Window
from oakcroft.decisions.fleet.shutdown import Stopping
from oakcroft.running.clock import Clock
from oakcroft.front.session_coordinator import Helm
from oakcroft.front.move_executor import STAY, Admits, Move
from oakcroft.front.service_levels import Reducing
from oakcroft.front.zone_routing import ZoneRouting
from oakcroft.front.playback_session import Reader, Viewing
from oakcroft.interface import Outcome
from oakcroft.signalling import sdp, words

READER_KINDS = ("active", "inactive", "layers", "move")
MOST_READERS = 4
MOST_TITLE = 200
TURN = 0.02  # taken from the margin for the answer's way to the viewer


class Faulty(Exception):
    """A request that is answered with a problem document (RFC 9457)."""

    def __init__(self, status: int, kind: str, title: str, detail: str = "") -> None:
        """Creates an error with an HTTP status, the last part of a problem type, a title and a detail."""
        super().__init__(title)
        self.status, self.kind, self.title, self.detail = (
            status,
            f"urn:oakcroft:problem:{kind}",
            title,
            detail,
        )


@dataclass
class Ask:
    """A request for a playback, whichever protocol it came by.

    `written_at` is the earliest time at which it may have been written.
    """

    path: str
    offer: str
    key: str | None
    written: int
    token: Token | None = None
    client: str = ""
    prefer: list[str] = field(default_factory=list)
    top: int | None = None
    seated: bool = False


@dataclass
class Patched:
    """Result of a PATCH on a session: empty, or the entity tag and the fragment of a new ICE session."""

    tag: str = ""
    fragment: bytes = b""


class Core:
    """The session operations of one front end."""

    def __init__(self, zone: str, helm: Helm, door: Door, stopping: Stopping, clock: Clock,
                 log: structlog.typing.FilteringBoundLogger) -> None:  # fmt: skip
        """Creates the service of a front end in `zone`; `run_queue` has to run beside it."""
        self.zone, self.helm, self.door, self.stopping, self.clock, self.log = (
            zone,
            helm,
            door,
            stopping,
            clock,
            log,
        )
        self.queue, self.number = Queue(door.bounds), 0
        self.publishing: dict[str, Viewing] = {}
        self.line = Line({}, Window(), SHORTEST_SETUP)
        self.take_version()
        self.shed, self.shed_told = 0, 0  # rejected unread; of those, logged
        self.shedding = False
        self.reducing: Reducing | None = None
        self.zone_routing: ZoneRouting | None = None
        self.turns: dict[int, trio.Event] = {}
        self.granted: set[int] = set()

    def take_version(self) -> None:
        """Applies the revenues and startup targets of the plans in force."""
        plans = {name: p.plan for name, p in self.helm.site.plans.items()}
        targets = {name: plan.startup_target for name, plan in plans.items()}
        self.line.take_version({name: plan.revenue for name, plan in plans.items()}, targets)

    # Queue in front of the policy.

    async def beat(self) -> None:
        """Measures how late the event loop runs, and lets queued requests go on as their turn comes."""
        while True:
            at = trio.current_time()
            await trio.sleep(BEAT / 1e9)
            passed = round((trio.current_time() - at) * 1e9)
            self.line.beat(passed - BEAT, passed)
            if self.reducing is not None:
                self.reducing.lagged(max(0, passed - BEAT))
            self._tell_shedding()
            for one in self.line.hopeless(self.clock.now()):
                self.turns.pop(one.number).set()
            self._advance()

    def _advance(self) -> None:
        """Gives queued requests their turn while there is room."""
        while (one := self.line.next()) is not None:
            self.granted.add(one.number)
            self.turns.pop(one.number).set()

    def sheds(self, path: str) -> bool:
        """Whether to reject a request for this path unread, because its plan's queue is too long."""
        if not self.line.waiting:
            return False
        plans = self.helm.site.table.plans.get(path[: path.rfind("/") + 1])
        if not plans or not all(self.line.sheds(p) for p in plans):
            return False
        self.shed += 1
        return True

    def _tell_shedding(self) -> None:
        """Logs once when shedding begins and once when it has ended, with its figures."""
        since, ended = self.shed - self.shed_told, not self.line.waiting
        begins, ends = since > 0 and not self.shedding, self.shedding and ended
        if begins or ends:
            self.shed_told, self.shedding = self.shed, begins
            self.log.warning("shedding" if begins else "shedding over", turned_away=since, pace=round(self.line.pace),
                             window=round(self.line.window.size), waiting=len(self.line.waiting))  # fmt: skip

    async def _turn(self, one: Waiting) -> bool:
        """Waits for a request's turn; returns False where it cannot be answered in time, or too many wait."""
        if self.line.full:
            return False
        if self.line.enter(one):
            return True
        event = self.turns[one.number] = trio.Event()
        taken = False
        try:
            await event.wait()
            taken = one.number in self.granted and one.abandon - self.clock.now() >= SHORTEST_SETUP
        finally:
            if not event.is_set():
                self.turns.pop(one.number, None)
                self.line.leave(one.number)
            if one.number in self.granted:
                self.granted.discard(one.number)
                if not taken:  # its turn came too late, or its viewer left at that moment
                    self.line.done()
        return taken

    # Requests.

    def token(self, given: str | None) -> Token | None:
        """The token of a bearer credential (RFC 6750); None where the configuration has no tokens.

        It is looked up by its digest, so that the time of a look-up reveals nothing about it. Raises
        RequestError 401 without a valid one.
        """
        tokens = self.helm.site.tokens
        if not tokens:
            return None
        token = tokens.get(hashlib.blake2b((given or "").strip().encode(), digest_size=32).digest())
        if token is None:
            raise Faulty(401, "token", "A valid bearer token is needed", "invalid_token" if given else "")
        return token

    def served(self, path: str) -> set[Side]:
        """The client roles that are served at a path. Raises RequestError 404 where none is."""
        title = unquote(path.rpartition("/")[2], errors="replace")
        sides = self.helm.site.table.sides(path) if words.is_path(path) else set()
        if not sides or not title or "/" in title or len(title) > MOST_TITLE or not title.isprintable():
            raise Faulty(404, "no-route", "Nothing is served at this path")
        return sides

    @staticmethod
    def parse(text: str) -> sdp.Description:
        """Parses an offer. Raises RequestError 400."""
        try:
            return sdp.parse(text)
        except sdp.SdpFault as fault:
            raise Faulty(400, "sdp", "The offer is no session description", str(fault)) from None

    @staticmethod
    def _check(offer: sdp.Description, publishes: bool) -> None:
        """Checks that an offer can be answered. Raises RequestError 422."""
        try:
            sdp.check_offer(offer, publishes)
        except sdp.SdpFault as fault:
            raise Faulty(422, "offer", "The offer cannot be answered", str(fault)) from None

    @staticmethod
    def _check_key(key: str | None) -> None:
        """Checks the form of an idempotency key. Raises RequestError 400."""
        if key is not None and not words.is_key(key):
            raise Faulty(400, "key", 'A key is 1 to 255 visible characters or spaces but " and \\')

    def _route(self, site: Site, ask: Ask, offer: sdp.Description, title: str) -> Route:
        """Route of a request.

        Raises RequestError 403 where only a claim is missing, 404 where no route matches.
        """
        sides = self.served(ask.path)
        publishes = any(offer.direction(m) == "sendonly" for m in offer.media)
        side = next(iter(sides)) if len(sides) == 1 else Side.PUBLISH if publishes else Side.WATCH
        path = f"{ask.path.rpartition('/')[0]}/{title}"
        asked = Asked(side, path, self.zone, ask.token.claims if ask.token else {})
        route = site.table.find(asked)
        if route is not None:
            return route
        if any(refuses(r.match, asked) is Why.CLAIM for r in site.table.routes.values() if r.match.claims):
            raise Faulty(403, "claim", "This token does not give access to this title")
        raise Faulty(404, "no-route", "Nothing is served at this path")

    def repeated(self, key: str | None, token: Token | None) -> bool:
        """Whether a request with this key of this client has its answer already.

        Such a request is exempt from all limits, as it binds nothing any more and gets the same answer again.
        """
        return key is not None and self.helm.repeats.answered(self._own(key, token))

    @staticmethod
    def _own(key: str, token: Token | None) -> str:
        """Key with its client's name, since keys of different clients are unrelated."""
        return f"{token.name}/{key}" if token else key

    async def ask(self, ask: Ask) -> tuple[Viewing | Reply, bool]:
        """Answers a request for a playback.

        Returns the session with its final answer, or a reply that rejects the request before it became a
        playback; and whether the answer is given for the first time. Raises RequestError where the request
        itself is wrong. A caller that is cancelled counts as a viewer that left.
        """
        site = self.helm.site  # the request is decided under this version throughout
        title = unquote(ask.path.rpartition("/")[2], errors="replace")
        # Before anything is parsed, since parsing dominates the cost of a rejected request.
        if not self.repeated(ask.key, ask.token) and self.sheds(ask.path):
            return REFUSALS[Refusal.BUSY], True
        self._check_key(ask.key)
        now, who = self.clock.now(), ask.token.name if ask.token else ""
        key = self._own(ask.key if ask.key is not None else secrets.token_urlsafe(15), ask.token)
        about = hashlib.blake2b(f"{ask.path}\0{ask.offer}".encode(), digest_size=16).hexdigest()
        turn, refusal, earlier = self.helm.repeats.turn(key, about, now)
        if turn is Turn.REFUSE and refusal is not None:
            return REFUSALS[refusal], True
        if turn is Turn.AGAIN and isinstance(earlier, Viewing):
            if self.helm.memory is not None:
                self.helm.memory.claimed(earlier)
            return earlier, False
        offer = self.parse(ask.offer)
        route = self._route(site, ask, offer, title)
        publishes, plan = route.match.side is Side.PUBLISH, site.plans[route.plan]
        self._check(offer, publishes)
        if not self.stopping.takes_new():
            return REFUSALS[Refusal.DRAINING], True
        if publishes:  # a session that has ended no longer holds its title
            some = self.publishing.items()
            self.publishing = {t: o for t, o in some if o.final is None or o.id in self.helm.sessions}
        if publishes and title in self.publishing:
            raise Faulty(409, "published", "This title is being published already")
        lag = self.reducing.lag if self.reducing is not None else 0
        wait = due(ask.written, plan.abandon, ask.prefer, margin(site.way_back, lag))
        if hopeless(wait, now, SHORTEST_SETUP):
            return REFUSALS[Refusal.TOO_LATE], True
        takes = ladder.bytes_a_second(*sdp.bandwidth(offer))
        tops = [ladder.best_rung(site.terms.rates, plan.plan.rate_factor, takes), route.top, ask.top]
        asked_top = min(t for t in tops if t is not None)
        if self.reducing is not None:
            if not self.reducing.admits(plan.name):
                return REFUSALS[Refusal.REDUCED], True
            asked_top = self.reducing.top(asked_top, plan.plan.floor)
        version = self.helm.catalogue.number
        top = self.helm.title_top(title, max(asked_top, plan.plan.floor), plan.plan.floor)
        if top is None:
            self.helm.finals[Final.REJECTED] += 1
            return REFUSALS[Refusal.NO_TITLE], True
        v = self.helm.viewing(ask.path, title, plan, publishes, key, ask.offer, sdp.ufrag(offer), top, wait)
        if v is None or not self.queue.has_room():
            return REFUSALS[Refusal.BUSY], True
        v.seated, v.keyed = ask.seated, ask.key is not None
        v.token, v.about, v.asked_top, v.catalogue = who, about, max(asked_top, plan.plan.floor), version
        if self.helm.memory is not None and (reply := self.helm.memory.refusal(v)) is not None:
            return reply, True
        v.pool = site.pools[route.pool] if route.pool else None
        v.pb.admits = self._admits(v)
        ticket = self.helm.ledger.ask(Party(who, route.name, route.plan, self.zone), now)
        if isinstance(ticket, Over):
            return answers.over(ticket), True
        v.ticket = ticket
        self.number += 1
        return await self._answered(v, self.number, about, ask.client or who)

    def _admits(self, v: Viewing, zones_matter: bool = True) -> Admits | None:
        """Filter for the nodes that a set-up may go to now; None for all nodes.

        These are the nodes of its route's pool, in the zones that may take it at present.
        """
        zones = self.zone_routing.admits() if self.zone_routing is not None and zones_matter else None
        pool, racks = v.pool, self.helm.site.terms.racks
        if pool is None:
            return zones
        return lambda node: pool.admits(node, racks) and (zones is None or zones(node))

    async def _answered(
        self, v: Viewing, number: int, about: str, client: str
    ) -> tuple[Viewing | Reply, bool]:
        """Queues a request in front of the policy and waits for its answer."""
        paid = v.plan.plan.effect.value == "paid"
        self.queue.enter(number)
        if not self.helm.repeats.begin(v.key, about, paid, self.clock.now()) and paid:
            self.queue.leave(number)  # without a record, a repeat would be set up again
            if v.ticket is not None:
                self.helm.ledger.back(v.ticket)
            return REFUSALS[Refusal.BUSY], True
        if v.publishes:
            self.publishing[v.pb.title.name] = v
        self.helm.unanswered += 1
        at_work = asked = False
        try:
            at_work = await self._turn(Waiting(v.due.abandon, number, v.plan.name, client))
            asked = at_work and self.helm.offer(partial(self.helm.arrived, v))
            if not asked:
                reply = REFUSALS[Refusal.BUSY if at_work or self.line.full else Refusal.TOO_LATE]
                v.settle(Final.REJECTED, reply)
                self.helm.repeats.settled(v.key, Final.REJECTED, v, self.clock.now())
                return reply, True
            with trio.CancelScope(deadline=self.clock.deadline(v.due.abandon)):
                await v.answered.wait()
            if v.final is None:  # both fell due at once, as after a pause: the policy goes first
                with trio.move_on_after(TURN):
                    await v.answered.wait()
            if v.final is None:  # the policy owes the answer; guards against any fault there
                self.log.error("no answer in time", playback=v.id, plan=v.plan.name)
                v.settle(Final.ABORTED, answers.aborted(v.plan.plan.effect))
                self.helm.repeats.settled(v.key, Final.ABORTED, v, self.clock.now())
                if self.helm.memory is not None:
                    self.helm.memory.answered(v, Final.ABORTED)
                self.helm.insist(partial(self.helm.left, v))
            return v, True
        finally:
            if at_work:
                self.line.done()
                self._advance()
            self.helm.unanswered -= 1
            self.queue.leave(number)
            if not asked and v.ticket is not None:
                self.helm.ledger.back(v.ticket)
            if v.final is None:  # the viewer left; its key stays in use until the set-up's end is known
                if asked:
                    self.helm.insist(partial(self.helm.left, v))
                else:
                    v.settle(Final.REJECTED)
                    self.helm.repeats.settled(v.key, Final.REJECTED, v, self.clock.now())
                v.answered.set()
            if v.publishes and v.final is not Final.PLAYS:
                self.publishing.pop(v.pb.title.name, None)
            self.helm.bell.ring()

    # Playing sessions.

    def session(self, name: str, token: Token | None) -> Viewing:
        """Session by its id. Raises RequestError 404, or 403 for a session of another client."""
        v = self.helm.sessions.get(name)
        if v is None or v.resource is None or v.upstream is None:
            raise Faulty(404, "no-session", "No such session")
        if token is not None and v.token and token.name != v.token:
            raise Faulty(403, "claim", "This session is another client's")
        self._stands(v)
        return v

    def _stands(self, v: Viewing) -> None:
        """Raises RequestError 404 for a session that has ended, or is being ended."""
        if v.resource is None or v.resource.gone() or v.id not in self.helm.sessions:
            raise Faulty(404, "no-session", "No such session")

    @staticmethod
    def _said(said: Said) -> Faulty:
        """The error of a session resource as RequestError."""
        return Faulty(said.status, said.kind.rpartition(":")[2], said.title)

    async def patch(self, v: Viewing, kind: str, tags: list[str] | None, body: bytes) -> Patched:
        """Applies a trickle ICE fragment to a session (RFC 9725 4.3).

        Raises RequestError with the status of a request that does not fit the resource, or 502 where the node
        failed.
        """
        assert v.resource is not None
        assert v.upstream is not None
        fragment = sdp.Fragment("", "", [], True)
        if kind == SDPFRAG:
            try:
                fragment = sdp.parse_fragment(body.decode("utf-8"))
            except (UnicodeDecodeError, sdp.SdpFault) as fault:
                raise Faulty(400, "sdp", "This is no trickle fragment", str(fault)) from None
        act = v.resource.patched(kind, tags, fragment.ufrag, len(fragment.candidates))
        if isinstance(act, Said):
            raise self._said(act)
        upstream, resource = v.upstream, v.resource  # a move may replace both meanwhile
        leg = self.helm.legs.get(upstream.node)
        if act is Act.TRICKLE:
            reply = await leg.patch(upstream, f'"{upstream.tag}"', body) if leg else None
            if reply is None or reply.status not in (200, 204):
                raise Faulty(502, "node", "The playout node did not take the candidates")
            return Patched()
        done = False
        try:
            reply = await leg.patch(upstream, "*", body) if leg else None
            tag = (reply.header("etag") or "").strip('"') if reply is not None else ""
            if reply is None or reply.status != 200 or not tag:
                raise Faulty(502, "node", "The playout node did not restart ICE")
            upstream.tag = tag
            resource.restarted(tag, fragment.ufrag)
            done = True
            return Patched(tag, reply.body)
        finally:
            if not done:
                resource.restart_failed()

    async def end(self, v: Viewing) -> None:
        """Ends a session for its viewer. Raises RequestError 404 for one that has ended."""
        assert v.resource is not None
        act = v.resource.deleted()
        if isinstance(act, Said):
            raise self._said(act)
        if v.publishes:
            self.publishing.pop(v.pb.title.name, None)
        await self.helm.tell(partial(self.helm.end, v))

    async def layer(self, v: Viewing, wish: str) -> None:
        """Sets the highest rung that the viewer takes; below it the policy goes on choosing.

        Raises RequestError 422 for a rung that the plan does not have.
        """
        self._stands(v)
        plan = v.pb.plan
        rung = ladder.rung_wished(wish, plan.floor, plan.top)
        if rung is None:
            raise Faulty(422, "layer", "No such layer in this plan", f"rungs {plan.floor} to {plan.top}")
        # A level of reduced service limits increases only and takes nothing away.
        if self.reducing is not None and rung > v.pb.top:
            rung = max(v.pb.top, self.reducing.top(rung, plan.floor))
        await self.helm.tell(partial(self.helm.wished, v, rung))

    def reader(self, v: Viewing, kinds: frozenset[str], seat: bool = False) -> Reader:
        """Opens a reader of a session's events, which begins with the present state.

        The reader of a session that has ended gets just that event. Raises RequestError 409 for one reader
        too many; with `for_client_session` the reader is not counted, since otherwise a repeated request
        could not get its answer.
        """
        if len(v.readers) >= MOST_READERS and not seat:
            raise Faulty(409, "events", f"{MOST_READERS} streams of this session are open")
        send, receive = trio.open_memory_channel[tuple[str, dict[str, str]]](self.door.bounds.event_backlog)
        reader = Reader(kinds, send, receive)
        if v.id not in self.helm.sessions:
            send.send_nowait(("inactive", {"why": Outcome.RESET.value}))
            send.close()
            return reader
        v.readers.append(reader)
        if "active" in kinds:
            send.send_nowait(("active", {}))
        if "layers" in kinds:
            send.send_nowait(("layers", {"encodingId": str(v.pb.rung)}))
        assert not slow_reader(2, self.door.bounds)
        return reader

    @staticmethod
    def unread(v: Viewing, reader: Reader) -> None:
        """Closes a reader of a session's events."""
        reader.receive.close()
        if reader in v.readers:
            v.readers.remove(reader)

    async def move(self, v: Viewing, text: str, key: str, prefer: list[str]) -> tuple[str, str] | Reply:
        """Handles the new offer of a player that was told to move.

        Returns the answer and the entity tag of the target, or a reply by which the player stays. Raises
        RequestError 409 where the session is not being moved.
        """
        self._stands(v)
        self._check_key(key)
        offer = self.parse(text)
        self._check(offer, v.publishes)
        move = self.helm.moves.moves.get(v.id)
        if move is None or not move.hand.takes_offer():
            raise Faulty(409, "no-move", "This session is not being moved")
        wait = due(self.clock.now(), v.plan.abandon, prefer, self.helm.site.way_back)
        title = v.pb.title.name
        other = self.helm.viewing(
            v.path, title, v.plan, v.publishes, key, text, sdp.ufrag(offer), v.pb.top, wait
        )
        if other is None:
            return REFUSALS[Refusal.BUSY]
        await self.helm.tell(partial(self._begin_move, move, other))
        with trio.CancelScope(deadline=self.clock.deadline(wait.abandon)):
            await other.answered.wait()
        upstream = other.upstream if move.hand.state is Course.BESIDE else v.upstream
        if other.final is not Final.PLAYS or upstream is None:
            return other.reply or STAY
        return upstream.answer, upstream.tag

    def _begin_move(self, move: Move, other: Viewing) -> None:
        """Hands an offer to its move."""
        other.pool = move.v.pool
        if not self.helm.moves.offered(move, other, self._admits):
            other.settle(Final.REJECTED, STAY)

    async def moved(self, v: Viewing) -> None:
        """Handles the confirmation that the player plays from the target."""
        self._stands(v)
        move = self.helm.moves.moves.get(v.id)
        if move is not None:
            await self.helm.tell(partial(self.helm.moves.happens, move, Happening.CONFIRMED))
