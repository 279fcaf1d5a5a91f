"""State machine of one WHIP or WHEP session resource: what a PATCH, a DELETE or a layer selection on it gets.

It follows RFC 9725 4.3 and 4.2 and draft-ietf-wish-whep 4. The ETag names the ICE session. Trickled
candidates must name the one in force; a restart makes a new one. A step that a playout node has to take is
returned as a `ResourceAction`, and the resource changes once the node has answered.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Act(Enum):
    """Step to take for a valid request."""

    TRICKLE = "pass the candidates on"
    RESTART = "ask for a new ICE session"
    END = "end the session"
    NOTHING = "answer at once"


@dataclass(frozen=True)
class Said:
    """An error answer that needs no node: status, problem type and title (RFC 9457)."""

    status: int
    kind: str
    title: str


class Phase(Enum):
    """Phase of a session resource."""

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
    """One session resource.

    `etag` is the entity tag in force, without quotes. `ufrag` is the ICE user fragment of the client's offer,
    by which trickled candidates are told from a restart.
    """

    tag: str
    ufrag: str
    most_candidates: int = 128
    phase: Phase = Phase.LIVE
    candidates: int = 0

    def _change(self, phase: Phase) -> None:
        """Changes the phase; the only place where it changes. Raises ValueError for an invalid step."""
        if phase not in FOLLOWS[self.phase]:
            raise ValueError(f"a session cannot go from {self.phase.value} to {phase.value}")
        self.phase = phase

    def gone(self) -> Said | None:
        """Returns a 404 once the session is ending or has ended, else None."""
        if self.phase in (Phase.ENDING, Phase.ENDED):
            return Said(404, "urn:oakcroft:problem:no-session", "No such session")
        return None

    def patched(self, media_type: str, if_match: list[str] | None, ufrag: str, candidates: int) -> Act | Said:
        """Checks a PATCH with a fragment that names `ufrag` and carries `candidate_count` candidates.

        A precondition is required (428, RFC 6585 3) and checked (412, RFC 9110 15.5.13) as RFC 9725 4.3.1
        defines: a restart has `If-Match: *`, trickled candidates have the entity tag in force.
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
        """Checks a DELETE; a second one gets 404."""
        if said := self.gone():
            return said
        self._change(Phase.ENDING)
        return Act.END

    def ended(self) -> None:
        """The playback is over; may be called more than once."""
        if self.phase is not Phase.ENDED:
            self._change(Phase.ENDED)
