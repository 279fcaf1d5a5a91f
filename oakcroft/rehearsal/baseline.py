"""A naive front to measure against: a random holder, the lowest rung, one try. It keeps no rule on purpose.

`python -m oakcroft.rehearsal.baseline FILE` serves like `oakcroft serve FILE`, with these decisions in the module's
place.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from oakcroft.interface import (
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


class NaiveController:
    """Decides by lot."""

    def __init__(self, terms: DeploymentSettings, seed: int, host: Host, now: int) -> None:
        """As the module that it stands in for."""
        self.terms, self.host, self.rng = terms, host, Random(seed)
        self.nodes: dict[Node, None] = {}

    def on_node_list(self, kind: NodeListKind, entries: Iterable[NodeEntry], now: int) -> None:
        """Takes a list of nodes on; what is gone is dropped."""
        for e in entries:
            e.node.status = e.status
            self.nodes[e.node] = None
        self.nodes = {n: None for n in self.nodes if n.status is not NodeStatus.GONE}

    def on_request(self, playback: Playback, now: int) -> None:
        """Sends a request to any ready holder of its title, or rejects it where there is none."""
        cells = self.terms.cell_count
        copies = playback.title.copies if 0 < playback.title.copies < cells else cells
        ready = [
            n
            for n in self.nodes
            if n.status is NodeStatus.READY and (n.cell - playback.title.home_cell) % cells < copies
        ]
        if not ready:
            playback.state = PlaybackState.REJECTED
            self.host.reject(playback, 0)
            return
        node = self.rng.choice(ready)
        playback.tries.append((node, now))
        playback.state, playback.node = PlaybackState.SETTING_UP, node
        node.playbacks[playback] = None
        self.host.send_setup(playback, node, playback.abandon_at - 10_000_000)

    def on_handed_over(self, playback: Playback, node: Node, now: int) -> None:
        """A playback that played before a restart plays on."""
        playback.state, playback.node = PlaybackState.PLAYING, node
        node.playbacks[playback] = None

    def on_history_restored(
        self, retry_times: Iterable[int], nodes_with_spent_slot: Iterable[Node], now: int
    ) -> None:
        """Counts nothing."""

    def on_playing(self, playback: Playback, now: int) -> None:
        """A set-up succeeded."""
        if playback.state is PlaybackState.SETTING_UP:
            playback.state = PlaybackState.PLAYING

    def on_metric(self, playback: Playback, metric: PlaybackMetric, value: float, now: int) -> None:
        """Heeds no note."""

    def on_peer_load(self, node: Node, link_load: float, report_age_ns: int, now: int) -> None:
        """Heeds no load."""

    def on_viewer_left(self, playback: Playback, now: int) -> None:
        """Its viewer went."""
        if playback.state in (PlaybackState.SETTING_UP, PlaybackState.PLAYING):
            playback.state = PlaybackState.VIEWER_LEFT

    def on_timer(self, now: int) -> None:
        """Sets no alarm, and so is never woken."""

    def on_try_ended(
        self, playback: Playback, outcome: Outcome, is_closed: bool,
        link_load: float | None, link_used: float | None, uplink_load: float | None, now: int,
    ) -> None:  # fmt: skip
        """A try ended: there is no other."""
        if playback.node:
            playback.node.playbacks.pop(playback, None)
        if is_closed or playback.state is not PlaybackState.SETTING_UP:
            playback.state = PlaybackState.ENDED
        else:
            playback.state = PlaybackState.ABORTED
            self.host.abort(playback)

    def is_over(self, playback: Playback) -> bool:
        """Whether nothing more comes of a playback."""
        return playback.state in (PlaybackState.ENDED, PlaybackState.REJECTED, PlaybackState.ABORTED)


if __name__ == "__main__":
    import sys
    from pathlib import Path

    from oakcroft.cli import serve_file

    sys.exit(serve_file(Path(sys.argv[1]), NaiveController))
