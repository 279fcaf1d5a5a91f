"""The active catalogue of one front end and its versions.

A submitted catalogue is parsed in a worker thread, evaluated and activated between two events of the coordinator, and
kept as a version in the state file. Playbacks that the new version allows only lower rungs are stepped down in batches.
The decisions are in `oakcroft/decisions/routing/catalogue.py`.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

import structlog
import trio

from oakcroft.catalogue.text import (
    CatalogueContent,
    apply_change,
    text_digest,
    read_catalogue,
    format_catalogue,
)
from oakcroft.decisions.routing.catalogue import (
    Catalogue,
    PlaybackEffect,
    FleetSnapshot,
    VersionHistory,
    VersionEntry,
    StepDownQueue,
    CatalogueVerdict,
    changed_titles,
    evaluate_change,
    is_in_share,
)
from oakcroft.front.session_coordinator import SessionCoordinator
from oakcroft.front.playback_session import PlaybackSession
from oakcroft.interface import SECOND, NodeStatus, PlaybackState
from oakcroft.store.file import DropVersion, StateContents, VersionRecord

VERSION_KIND = "catalogue"

MAX_LOGGED_REASONS = 5

ChangeResult = tuple[CatalogueVerdict, list[str]]
"""Verdict on a submitted change, and why it was not activated."""


@dataclass(frozen=True)
class SubmittedChange:
    """How a catalogue was submitted."""

    base_digest: str | None
    """Version that it was made from, None for any."""

    force: bool
    """Whether it is accepted although it would otherwise be refused."""

    reason: str
    """Why it was made; kept with the version."""

    share: float = 1.0
    """Share of the front ends that activate it."""


@dataclass(frozen=True)
class PreparedVersion:
    """A submitted catalogue after parsing."""

    catalogue: Catalogue
    changed_names: list[str]
    """Titles that it changes."""

    text: str


class CatalogueVersions:
    """The active catalogue of one front end and its version history."""

    def __init__(self, coordinator: SessionCoordinator, log: structlog.typing.FilteringBoundLogger) -> None:
        """Starts with no versions; `restore` loads the stored ones."""
        self.coordinator = coordinator
        self.log = log
        self.history = VersionHistory()
        self.step_downs = StepDownQueue()
        self.texts_by_version: dict[int, str] = {}
        self.change_lock = trio.Lock()  # one change is parsed and evaluated at a time
        self.wake = trio.Event()

    @property
    def active_text(self) -> str:
        """Text of the active catalogue."""
        return self.texts_by_version.get(self.coordinator.catalogue.number, format_catalogue((), True))

    # Startup.

    def restore(self, stored: StateContents | None) -> None:
        """Activates the last stored version, before any request is accepted, and drops versions over the limit."""
        versions = (
            [version for version in stored.versions if version.kind == VERSION_KIND]
            if stored is not None
            else []
        )
        for version in versions[-self.history.max_versions :]:
            self.history.add(
                VersionEntry(version.number, version.digest, version.activated_at, version.reason)
            )
            self.texts_by_version[version.number] = version.body.decode()
        if self.coordinator.durable_state is not None:
            for version in versions[: -self.history.max_versions]:
                self.coordinator.durable_state.store.enqueue(DropVersion(VERSION_KIND, version.number))
        if versions:
            last = versions[-1]
            content = read_catalogue(last.body.decode())
            catalogue = Catalogue(last.number, last.digest, content.titles, content.others)
            self.coordinator.title_cache.apply_catalogue(
                catalogue.titles, changed_titles(self.coordinator.catalogue, catalogue)
            )
            self.coordinator.catalogue = catalogue
            self.log.info("catalogue as before", version=last.number, titles=len(content.titles))

    # Changes.

    async def replace(
        self, text: str, base_digest: str | None, force: bool, reason: str, share: float = 1.0
    ) -> ChangeResult:
        """Submits a whole catalogue. Raises the parser's error if the text is invalid.

        `base_digest`: the version that the text was made from, None for any; `force` accepts a change that would
        otherwise be refused; `share`: the share of the front ends that activate it.
        """
        submitted = SubmittedChange(base_digest, force, reason, share)
        return await self._evaluate(partial(read_catalogue, text), submitted)

    async def change(
        self, text: str, base_digest: str | None, force: bool, reason: str, share: float = 1.0
    ) -> ChangeResult:
        """Submits a change to the active catalogue, with arguments as for `replace`."""
        base = self.coordinator.catalogue
        content = CatalogueContent(dict(base.titles), base.serves_unlisted)
        submitted = SubmittedChange(base_digest or base.digest, force, reason, share)
        return await self._evaluate(partial(apply_change, text, content), submitted)

    async def roll_back(self, number: int, base_digest: str | None, force: bool) -> ChangeResult | None:
        """Submits an earlier version as a new one; None if that version is no longer kept."""
        if self.history.find(number) is None or number not in self.texts_by_version:
            return None
        submitted = SubmittedChange(base_digest, force, f"back to version {number}")
        return await self._evaluate(partial(read_catalogue, self.texts_by_version[number]), submitted)

    async def _evaluate(
        self, parse: Callable[[], CatalogueContent], submitted: SubmittedChange
    ) -> ChangeResult:
        """Parses a change in a worker thread and activates it as one event of the coordinator."""
        async with self.change_lock:
            base = self.coordinator.catalogue

            def prepare() -> PreparedVersion:
                content = parse()
                text = format_catalogue(content.titles.items(), content.others)
                new = Catalogue(self.history.next_number, text_digest(text), content.titles, content.others)
                return PreparedVersion(new, changed_titles(base, new), text)

            prepared = await trio.to_thread.run_sync(prepare)
            done = trio.Event()
            results = list[ChangeResult]()

            def activate() -> None:
                results.append(self._activate(prepared, submitted))
                done.set()

            await self.coordinator.submit(activate)
            await done.wait()
        return results[0]

    def _activate(self, prepared: PreparedVersion, submitted: SubmittedChange) -> ChangeResult:
        """Evaluates a change and activates it as a whole, or refuses it; runs as one event of the coordinator."""
        new = prepared.catalogue
        verdict, reasons = self._verdict(prepared, submitted)
        if verdict is not CatalogueVerdict.TAKEN:
            self.log.warning(
                "catalogue not taken",
                verdict=verdict.name.lower(),
                reasons=reasons[:MAX_LOGGED_REASONS],
                titles=len(new.titles),
            )
            return verdict, reasons
        now = self.coordinator.clock.now()
        self.coordinator.title_cache.apply_catalogue(new.titles, prepared.changed_names)
        self.coordinator.catalogue = new
        self._keep_version(prepared, submitted.reason, now)
        effect_counts = self._apply_to_playbacks(prepared)
        if self.step_downs.waiting:
            self.wake.set()
        self.log.info(
            "catalogue taken",
            version=new.number,
            titles=len(new.titles),
            changed=len(prepared.changed_names),
            why=submitted.reason,
            **{effect.name.lower(): count for effect, count in effect_counts.items()},
        )
        return verdict, []

    def _verdict(self, prepared: PreparedVersion, submitted: SubmittedChange) -> ChangeResult:
        """Returns whether a change is activated here, and why it is not."""
        new = prepared.catalogue
        terms = self.coordinator.site.terms
        verdict, reasons = evaluate_change(
            self.coordinator.catalogue,
            new,
            prepared.changed_names,
            submitted.base_digest,
            self._fleet_snapshot(),
            submitted.force,
        )
        if verdict is CatalogueVerdict.TAKEN and not is_in_share(
            terms.front_index, terms.front_count, int(new.digest, 16), submitted.share
        ):
            return CatalogueVerdict.LATER, [f"rolled out to {submitted.share:.0%} of the fronts"]
        return verdict, reasons

    def _fleet_snapshot(self) -> FleetSnapshot:
        terms = self.coordinator.site.terms
        listed_nodes = self.coordinator.node_list.listed_nodes.values()
        return FleetSnapshot(
            frozenset(node.name for node in listed_nodes if node.listing is NodeStatus.READY),
            frozenset(node.name for node in listed_nodes),
            len(terms.rung_rates),
            terms.cell_count,
            {name: plan_terms.plan.floor for name, plan_terms in self.coordinator.site.plans.items()},
        )

    def _keep_version(self, prepared: PreparedVersion, reason: str, now: int) -> None:
        """Adds a version to the history and the state file, and drops the oldest over the limit. `now` in ns."""
        new = prepared.catalogue
        self.texts_by_version[new.number] = prepared.text
        dropped_numbers = self.history.add(VersionEntry(new.number, new.digest, now, reason))
        for number in dropped_numbers:
            self.texts_by_version.pop(number, None)
        if self.coordinator.durable_state is not None:
            store = self.coordinator.durable_state.store
            store.enqueue(
                VersionRecord(VERSION_KIND, new.number, new.digest, now, reason, prepared.text.encode())
            )
            for number in dropped_numbers:
                store.enqueue(DropVersion(VERSION_KIND, number))

    def _apply_to_playbacks(self, prepared: PreparedVersion) -> dict[PlaybackEffect, int]:
        """Applies a version to the playbacks of all titles that it changes; returns their number by effect."""
        changed = set(prepared.changed_names)
        counts = dict.fromkeys(PlaybackEffect, 0)
        for session in list(self.coordinator.sessions_by_playback.values()):
            if session.playback.title.name in changed:
                counts[self._apply_to_playback(session, prepared.catalogue)] += 1
        return counts

    def _apply_to_playback(self, session: PlaybackSession, new: Catalogue) -> PlaybackEffect:
        """Applies the new version's rung limit to a playback; queues it if it must step down."""
        rung_count = len(self.coordinator.site.terms.rung_rates)
        title = new.titles.get(session.playback.title.name)
        if session.playback.state is not PlaybackState.PLAYING:  # its next try, if any, uses the new version
            if title is not None:
                session.playback.top_rung = max(
                    session.playback.plan.floor, min(session.requested_top, title.top_rung(rung_count))
                )
            return PlaybackEffect.STAYS
        effect, top_rung = self.coordinator.catalogue_effect(session)
        session.playback.top_rung = max(session.playback.plan.floor, min(session.requested_top, top_rung))
        if effect is PlaybackEffect.STEPS_DOWN:
            self.step_downs.add([session.id])
        return effect

    async def run(self) -> None:
        """Steps queued playbacks down in batches until cancelled."""
        while True:
            await self.wake.wait()
            self.wake = trio.Event()
            while self.step_downs.waiting:
                session_ids = self.step_downs.next_batch(self.coordinator.clock.now())
                if session_ids:
                    await self.coordinator.submit(partial(self._step_down, session_ids))
                await trio.sleep(self.step_downs.interval / SECOND)

    def _step_down(self, session_ids: list[str]) -> None:
        for session_id in session_ids:
            session = self.coordinator.sessions_by_id.get(session_id)
            # Compared with the current limit: a later version may have raised it again.
            if session is not None and session.playback.rung > session.playback.top_rung:
                self.coordinator.set_rung_bound(session, session.playback.top_rung)
