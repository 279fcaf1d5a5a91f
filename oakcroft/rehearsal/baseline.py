"""A naive front end as a baseline: each request gets one try on a random node that has the title, on the lowest rung.

It follows no rule on purpose. `python -m oakcroft.rehearsal.baseline FILE` serves like `oakcroft serve FILE`, with this
decision module in place of the real one.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from oakcroft.interface import (
    MS,
    NodeEntry,
    Host,
    NodeStatus,
    NodeListKind,
    Node,
    PlaybackMetric,
    Outcome,
    Playback,
    PlaybackState,
    DeploymentSettings,
)


SETUP_MARGIN_NS = 10 * MS
"""How long before the abandon time a set-up is given up, so that the viewer still gets an answer in time."""


class NaiveController:
    """Chooses nodes at random."""

    def __init__(self, terms: DeploymentSettings, seed: int, host: Host, now: int) -> None:
        """Has the same parameters as the decision module that it replaces."""
        self.terms = terms
        self.host = host
        self.rng = Random(seed)
        self.nodes: dict[Node, None] = {}

    def on_node_list(self, kind: NodeListKind, entries: Iterable[NodeEntry], now: int) -> None:
        """Applies a node list and removes nodes that are gone."""
        for entry in entries:
            entry.node.status = entry.status
            self.nodes[entry.node] = None
        self.nodes = {node: None for node in self.nodes if node.status is not NodeStatus.GONE}

    def on_request(self, playback: Playback, now: int) -> None:
        """Sends a request to any ready node that has its title, or rejects it if there is none."""
        cell_count = self.terms.cell_count
        home_cell, copies = playback.placement
        copies = copies if 0 < copies < cell_count else cell_count
        ready = [
            node
            for node in self.nodes
            if node.status is NodeStatus.READY and (node.cell - home_cell) % cell_count < copies
        ]
        if not ready:
            playback.state = PlaybackState.REJECTED
            self.host.reject(playback, 0)
            return
        node = self.rng.choice(ready)
        playback.tries.append((node, now))
        playback.state = PlaybackState.SETTING_UP
        playback.node = node
        node.playbacks[playback] = None
        self.host.send_setup(playback, node, playback.abandon_at - SETUP_MARGIN_NS)

    def on_handed_over(self, playback: Playback, node: Node, now: int) -> None:
        """Restores a playback that played before a restart."""
        playback.state = PlaybackState.PLAYING
        playback.node = node
        node.playbacks[playback] = None

    def on_history_restored(
        self, retry_times: Iterable[int], nodes_with_used_slot: Iterable[Node], now: int
    ) -> None:
        """Ignores the history."""

    def on_playing(self, playback: Playback, now: int) -> None:
        """Marks a playback as playing after its set-up succeeded."""
        if playback.state is PlaybackState.SETTING_UP:
            playback.state = PlaybackState.PLAYING

    def on_metric(self, playback: Playback, metric: PlaybackMetric, value: float, now: int) -> None:
        """Ignores metrics."""

    def on_peer_load(self, node: Node, link_load: float, report_age_ns: int, now: int) -> None:
        """Ignores loads that peers report."""

    def on_viewer_left(self, playback: Playback, now: int) -> None:
        """Marks a playback whose viewer has left."""
        if playback.state in (PlaybackState.SETTING_UP, PlaybackState.PLAYING):
            playback.state = PlaybackState.VIEWER_LEFT

    def on_timer(self, now: int) -> None:
        """Does nothing; it is never called, as no timer is set."""

    def on_try_ended(
        self,
        playback: Playback,
        outcome: Outcome,
        is_closed: bool,
        link_load: float | None,
        capped_link_load: float | None,
        uplink_load: float | None,
        now: int,
    ) -> None:
        """Ends a playback with its only try, or aborts it if it never played."""
        if playback.node:
            playback.node.playbacks.pop(playback, None)
        if is_closed or playback.state is not PlaybackState.SETTING_UP:
            playback.state = PlaybackState.ENDED
        else:
            playback.state = PlaybackState.ABORTED
            self.host.abort(playback)

    def is_over(self, playback: Playback) -> bool:
        """Whether a playback has reached a final state."""
        return playback.state in (PlaybackState.ENDED, PlaybackState.REJECTED, PlaybackState.ABORTED)


if __name__ == "__main__":
    import sys
    from pathlib import Path

    from oakcroft.cli import serve_file

    sys.exit(serve_file(Path(sys.argv[1]), NaiveController))
