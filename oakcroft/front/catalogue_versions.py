"""The active catalogue of one front end and its versions.

A submitted catalogue is parsed in a worker thread, evaluated and activated between two events of the coordinator, and
kept as a version in the state file. Playbacks that the new version allows only lower rungs are stepped down in batches.
The decisions are in `oakcroft/decisions/routing/catalogue.py`.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

import structlog
import trio

from oakcroft.catalogue.text import Said, apply, digest as digest_of, read, write
from oakcroft.decisions.routing.catalogue import (
    Catalogue,
    Course,
    Fleet,
    History,
    Kept,
    Steps,
    Verdict,
    changed,
    consider,
)
from oakcroft.decisions.routing.catalogue import takes_part
from oakcroft.front.session_coordinator import Helm
from oakcroft.front.playback_session import Viewing
from oakcroft.interface import Listing, State
from oakcroft.store.file import Dropped, Held, Version

KIND = "catalogue"
T_OFFER = tuple[Verdict, list[str]]


class Catalogues:
    """The active catalogue of one front end and its version history."""

    def __init__(self, helm: Helm, log: structlog.typing.FilteringBoundLogger) -> None:
        """Starts with no versions; `restore` loads the stored ones."""
        self.helm, self.log = helm, log
        self.history, self.steps = History(), Steps()
        self.texts: dict[int, str] = {}
        self.turn = trio.Lock()  # one change is parsed and evaluated at a time
        self.wake = trio.Event()

    @property
    def text(self) -> str:
        """The text of the active catalogue."""
        return self.texts.get(self.helm.catalogue.number, write((), True))

    # Startup.

    def begin(self, held: Held | None) -> None:
        """Activates the last stored version, before any request is accepted, and drops versions over the limit."""
        versions = [v for v in held.versions if v.kind == KIND] if held is not None else []
        for v in versions[-self.history.most :]:
            self.history.take(Kept(v.number, v.digest, v.taken, v.why))
            self.texts[v.number] = v.body.decode()
        if self.helm.memory is not None:
            for v in versions[: -self.history.most]:
                self.helm.memory.store.note(Dropped(KIND, v.number))
        if versions:
            last = versions[-1]
            said = read(last.body.decode())
            new = Catalogue(last.number, last.digest, said.titles, said.others)
            self.helm.titles.take_catalogue(new.titles, changed(self.helm.catalogue, new))
            self.helm.catalogue = new
            self.log.info("catalogue as before", version=last.number, titles=len(said.titles))

    # Changes.

    async def replace(
        self, text: str, made_from: str | None, force: bool, why: str, share: float = 1.0
    ) -> T_OFFER:
        """Submits a whole catalogue. Raises the parser's error if the text is invalid.

        `base_digest`: the version that the text was made from, None for any; `force` accepts a change that would
        otherwise be refused; `share`: the share of the front ends that activate it.
        """
        return await self._offer(partial(read, text), made_from, force, why, share)

    async def change(
        self, text: str, made_from: str | None, force: bool, why: str, share: float = 1.0
    ) -> T_OFFER:
        """Submits a change to the active catalogue, with arguments as for `replace`."""
        base = self.helm.catalogue
        said = Said(dict(base.titles), base.others)
        return await self._offer(partial(apply, text, said), made_from or base.digest, force, why, share)

    async def roll_back(self, number: int, made_from: str | None, force: bool) -> T_OFFER | None:
        """Submits an earlier version as a new one; None if that version is no longer kept."""
        if self.history.find(number) is None or number not in self.texts:
            return None
        return await self._offer(
            partial(read, self.texts[number]), made_from, force, f"back to version {number}", 1.0
        )

    async def _offer(
        self, said: Callable[[], Said], made_from: str | None, force: bool, why: str, share: float
    ) -> T_OFFER:
        async with self.turn:
            base = self.helm.catalogue

            def prepare() -> tuple[Catalogue, list[str], str]:
                found = said()
                text = write(found.titles.items(), found.others)
                new = Catalogue(self.history.next_number, digest_of(text), found.titles, found.others)
                return new, changed(base, new), text

            new, names, text = await trio.to_thread.run_sync(prepare)
            done, out = trio.Event(), list[T_OFFER]()

            def take() -> None:
                out.append(self._take(base, new, names, text, made_from, force, why, share))
                done.set()

            await self.helm.tell(take)
            await done.wait()
        return out[0]

    def _take(
        self, base: Catalogue, new: Catalogue, names: list[str], text: str, made_from: str | None, force: bool, why: str,
        share: float,
    ) -> T_OFFER:  # fmt: skip
        """Evaluates a change and activates it as a whole, or refuses it; runs as one event of the coordinator."""
        helm, terms = self.helm, self.helm.site.terms
        lines = helm.roster.lines.values()
        ready = frozenset(x.name for x in lines if x.listing is Listing.READY)
        floors = {n: p.plan.floor for n, p in helm.site.plans.items()}
        fleet = Fleet(ready, frozenset(x.name for x in lines), len(terms.rates), terms.cells, floors)
        verdict, why_not = consider(helm.catalogue, new, names, made_from, fleet, force)
        if verdict is Verdict.TAKEN and not takes_part(terms.front, terms.fronts, int(new.digest, 16), share):
            verdict, why_not = Verdict.LATER, [f"rolled out to {share:.0%} of the fronts"]
        if verdict is not Verdict.TAKEN:
            self.log.warning(
                "catalogue not taken",
                verdict=verdict.name.lower(),
                reasons=why_not[:5],
                titles=len(new.titles),
            )
            return verdict, why_not
        now = helm.clock.now()
        helm.titles.take_catalogue(new.titles, names)
        helm.catalogue = new
        self.texts[new.number] = text
        forgotten = self.history.take(Kept(new.number, new.digest, now, why))
        for number in forgotten:
            self.texts.pop(number, None)
        if helm.memory is not None:
            helm.memory.store.note(Version(KIND, new.number, new.digest, now, why, text.encode()))
            for number in forgotten:
                helm.memory.store.note(Dropped(KIND, number))
        some = set(names)
        counts = dict.fromkeys(Course, 0)
        for v in list(helm.viewings.values()):
            if v.pb.title.name in some:
                counts[self._goes_on(v, new)] += 1
        if self.steps.waiting:
            self.wake.set()
        self.log.info("catalogue taken", version=new.number, titles=len(new.titles), changed=len(names), why=why,
                      **{c.name.lower(): n for c, n in counts.items()})  # fmt: skip
        return verdict, []

    def _goes_on(self, v: Viewing, new: Catalogue) -> Course:
        """Applies the new version's rung limit to a playback; queues it if it must step down."""
        rungs, item = len(self.helm.site.terms.rates), new.titles.get(v.pb.title.name)
        if v.pb.state is not State.PLAYING:  # its next try, if any, uses the new version
            if item is not None:
                v.pb.top = max(v.pb.plan.floor, min(v.asked_top, item.top(rungs)))
            return Course.STAYS
        what, top = self.helm.course(v)
        v.pb.top = max(v.pb.plan.floor, min(v.asked_top, top))
        if what is Course.STEPS_DOWN:
            self.steps.add([v.id])
        return what

    async def run(self) -> None:
        """Steps queued playbacks down in batches until cancelled."""
        while True:
            await self.wake.wait()
            self.wake = trio.Event()
            while self.steps.waiting:
                some = self.steps.due(self.helm.clock.now())
                if some:
                    await self.helm.tell(partial(self._step_down, some))
                await trio.sleep(self.steps.every / 1e9)

    def _step_down(self, some: list[str]) -> None:
        for id_ in some:
            v = self.helm.sessions.get(id_)
            # Compared with the current limit: a later version may have raised it again.
            if v is not None and v.pb.rung > v.pb.top:
                self.helm.bounded(v, v.pb.top)
