"""The life of one WHIP or WHEP session resource, as seen by its client: what a PATCH, a DELETE or a layer
selection on it gets (RFC 9725 4.3 and 4.2, draft-ietf-wish-whep 4).

The ETag names the ICE session. Trickle candidates must name the one in force; a restart makes a new one. Steps
that a playout node has to take are answered with `Act`, and the resource changes when the node has answered.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Act(Enum):
    """What is to be done with a call that is in order."""

    TRICKLE = "pass the candidates on"
    RESTART = "ask for a new ICE session"
    END = "end the session"
    NOTHING = "answer at once"


@dataclass(frozen=True)
class Said:
    """A call's answer that needs no node."""

    status: int
    kind: str
    title: str


class Phase(Enum):
    """Where a session resource stands."""

    LIVE = "live"
    RESTARTING = "restarting ICE"
    ENDING = "ending"
    ENDED = "ended"


FOLLOWS = {
    Phase.LIVE: {Phase.RESTARTING, Phase.ENDING, Phase.ENDED},
    Phase.RESTARTING: {Phase.LIVE, Phase.ENDING, Phase.ENDED},
    Phase.ENDING: {Phase.ENDED},
    Phase.ENDED: set[Phase](),
}
SDPFRAG = "application/trickle-ice-sdpfrag"


@dataclass
class Resource:
    """One session resource. `tag` is the entity tag in force, without quotes; `ufrag` the ICE user fragment
    that the client's offer named, by which trickled candidates are told from a restart."""

    tag: str
    ufrag: str
    most_candidates: int = 128
    phase: Phase = Phase.LIVE
    candidates: int = 0

    def _change(self, phase: Phase) -> None:
        """The one place where the phase changes. ValueError for a step that cannot be."""
        if phase not in FOLLOWS[self.phase]:
            raise ValueError(f"a session cannot go from {self.phase.value} to {phase.value}")
        self.phase = phase

    def gone(self) -> Said | None:
        """404 once it has ended; the resource no longer exists."""
        if self.phase in (Phase.ENDING, Phase.ENDED):
            return Said(404, "urn:oakcroft:problem:no-session", "No such session")
        return None

    def patched(self, media_type: str, if_match: list[str] | None, ufrag: str, candidates: int) -> Act | Said:
        """A PATCH with a fragment that names `ufrag` and carries so many candidates.

        A precondition is demanded (428, RFC 6585 3) and checked (412, RFC 9110 15.5.13) as RFC 9725 4.3.1 has it: a
        restart comes with `If-Match: *`, trickled candidates with the tag in force.
        """
        if media_type != SDPFRAG:
            return Said(415, "urn:oakcroft:problem:media-type", f"A PATCH carries {SDPFRAG}")
        if said := self.gone():
            return said
        if not if_match:
            return Said(428, "urn:oakcroft:problem:if-match", "A PATCH needs If-Match")
        any_tag = "*" in if_match
        if not any_tag and f'"{self.tag}"' not in if_match:
            return Said(412, "urn:oakcroft:problem:stale", "That ICE session is no longer in force")
        if self.phase is Phase.RESTARTING:
            return Said(409, "urn:oakcroft:problem:restarting", "An ICE restart is at work")
        if ufrag and ufrag != self.ufrag:
            if not any_tag:
                return Said(412, "urn:oakcroft:problem:stale", "A restart comes with If-Match: *")
            self._change(Phase.RESTARTING)
            return Act.RESTART
        if any_tag:
            return Said(
                422, "urn:oakcroft:problem:no-restart", "If-Match: * asks for a restart, but the ufrag is old"
            )
        if self.candidates + candidates > self.most_candidates:
            return Said(
                422, "urn:oakcroft:problem:candidates", f"More than {self.most_candidates} candidates"
            )
        self.candidates += candidates
        return Act.TRICKLE

    def restarted(self, tag: str, ufrag: str) -> None:
        """The node has a new ICE session."""
        if self.phase is Phase.RESTARTING:
            self._change(Phase.LIVE)
            self.tag, self.ufrag, self.candidates = tag, ufrag, 0

    def restart_failed(self) -> None:
        """The node refused or did not answer: the old ICE session stays in force (RFC 9725 4.3.3)."""
        if self.phase is Phase.RESTARTING:
            self._change(Phase.LIVE)

    def deleted(self) -> Act | Said:
        """A DELETE; a second one finds nothing."""
        if said := self.gone():
            return said
        self._change(Phase.ENDING)
        return Act.END

    def ended(self) -> None:
        """The playback is over."""
        if self.phase is not Phase.ENDED:
            self._change(Phase.ENDED)
