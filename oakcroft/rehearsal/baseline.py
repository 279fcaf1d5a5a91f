"""A naive front to measure against: a random holder, the lowest rung, one try. It keeps no rule on purpose.

`python -m oakcroft.rehearsal.baseline FILE` serves like `oakcroft serve FILE`, with these decisions in the module's
place.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from oakcroft.interface import Entry, Host, Listing, ListKind, Node, Note, Outcome, Playback, State, Terms


class Naive:
    """Decides by lot."""

    def __init__(self, terms: Terms, seed: int, host: Host, now: int) -> None:
        """As the module that it stands in for."""
        self.terms, self.host, self.rng = terms, host, Random(seed)
        self.nodes: dict[Node, None] = {}

    def listed(self, kind: ListKind, entries: Iterable[Entry], now: int) -> None:
        """Takes a list of nodes on; what is gone is dropped."""
        for e in entries:
            e.node.listing = e.listing
            self.nodes[e.node] = None
        self.nodes = {n: None for n in self.nodes if n.listing is not Listing.GONE}

    def arrived(self, pb: Playback, now: int) -> None:
        """Sends a request to any ready holder of its title, or rejects it where there is none."""
        cells = self.terms.cells
        copies = pb.title.copies if 0 < pb.title.copies < cells else cells
        ready = [
            n for n in self.nodes if n.listing is Listing.READY and (n.cell - pb.title.home) % cells < copies
        ]
        if not ready:
            pb.state = State.REJECTED
            self.host.reject(pb, 0)
            return
        node = self.rng.choice(ready)
        pb.tries.append((node, now))
        pb.state, pb.node = State.SETTING_UP, node
        node.playbacks[pb] = None
        self.host.send(pb, node, pb.abandon - 10_000_000)

    def resumed(self, pb: Playback, node: Node, now: int) -> None:
        """A playback that played before a restart plays on."""
        pb.state, pb.node = State.PLAYING, node
        node.playbacks[pb] = None

    def recalled(self, further: Iterable[int], spent: Iterable[Node], now: int) -> None:
        """Counts nothing."""

    def playing(self, pb: Playback, now: int) -> None:
        """A set-up succeeded."""
        if pb.state is State.SETTING_UP:
            pb.state = State.PLAYING

    def noted(self, pb: Playback, kind: Note, value: float, now: int) -> None:
        """Heeds no note."""

    def told(self, node: Node, asked: float, age: int, now: int) -> None:
        """Heeds no load."""

    def left(self, pb: Playback, now: int) -> None:
        """Its viewer went."""
        if pb.state in (State.SETTING_UP, State.PLAYING):
            pb.state = State.CLOSED

    def alarm(self, now: int) -> None:
        """Sets no alarm, and so is never woken."""

    def tried(
        self, pb: Playback, outcome: Outcome, closed: bool,
        asked: float | None, used: float | None, uplink: float | None, now: int,
    ) -> None:  # fmt: skip
        """A try ended: there is no other."""
        if pb.node:
            pb.node.playbacks.pop(pb, None)
        if closed or pb.state is not State.SETTING_UP:
            pb.state = State.ENDED
        else:
            pb.state = State.ABORTED
            self.host.abort(pb)

    def over(self, pb: Playback) -> bool:
        """Whether nothing more comes of a playback."""
        return pb.state in (State.ENDED, State.REJECTED, State.ABORTED)


if __name__ == "__main__":
    import sys
    from pathlib import Path

    from oakcroft.cli import serve_file

    sys.exit(serve_file(Path(sys.argv[1]), Naive))
