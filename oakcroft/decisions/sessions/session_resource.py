"""State machine of one WHIP or WHEP session resource: the response to a PATCH, a DELETE or a layer selection.

It follows RFC 9725 4.3 and 4.2 and draft-ietf-wish-whep 4. The ETag identifies the ICE session. Trickled
candidates must name the current one; a restart creates a new one. A step that a playout node has to take is
returned as a `ResourceAction`, and the resource changes once the node has answered.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class ResourceAction(Enum):
    """Step to take for a valid request."""

    TRICKLE = "pass the candidates on"
    RESTART = "ask for a new ICE session"
    END = "end the session"
    NONE = "answer at once"


@dataclass(frozen=True)
class ResourceError:
    """An error response that needs no node: status, problem type and title (RFC 9457)."""

    status: int
    problem_type: str
    title: str


class ResourcePhase(Enum):
    """Phase of a session resource."""

    LIVE = "live"
    RESTARTING = "restarting ICE"
    ENDING = "ending"
    ENDED = "ended"


NEXT_PHASES = {
    ResourcePhase.LIVE: {ResourcePhase.RESTARTING, ResourcePhase.ENDING, ResourcePhase.ENDED},
    ResourcePhase.RESTARTING: {ResourcePhase.LIVE, ResourcePhase.ENDING, ResourcePhase.ENDED},
    ResourcePhase.ENDING: {ResourcePhase.ENDED},
    ResourcePhase.ENDED: set[ResourcePhase](),
}
SDPFRAG_MEDIA_TYPE = "application/trickle-ice-sdpfrag"


@dataclass
class SessionResource:
    """One session resource.

    `etag` is the current entity tag, without quotes. `ufrag` is the ICE user fragment of the client's offer,
    which distinguishes trickled candidates from a restart.
    """

    etag: str
    ufrag: str
    max_candidates: int = 128
    phase: ResourcePhase = ResourcePhase.LIVE
    candidate_count: int = 0

    def _set_phase(self, phase: ResourcePhase) -> None:
        """Changes the phase; the only place that does. Raises ValueError for an invalid transition."""
        if phase not in NEXT_PHASES[self.phase]:
            raise ValueError(f"a session cannot go from {self.phase.value} to {phase.value}")
        self.phase = phase

    def not_found(self) -> ResourceError | None:
        """Returns a 404 once the session is ending or has ended, else None."""
        if self.phase in (ResourcePhase.ENDING, ResourcePhase.ENDED):
            return ResourceError(404, "urn:oakcroft:problem:no-session", "No such session")
        return None

    def patch(
        self, media_type: str, if_match: list[str] | None, ufrag: str, candidate_count: int
    ) -> ResourceAction | ResourceError:
        """Checks a PATCH with a fragment that names `ufrag` and carries `candidate_count` candidates.

        A precondition is required (428, RFC 6585 3) and checked (412, RFC 9110 15.5.13) as RFC 9725 4.3.1
        defines: a restart has `If-Match: *`, trickled candidates have the current entity tag.
        """
        if media_type != SDPFRAG_MEDIA_TYPE:
            return ResourceError(
                415, "urn:oakcroft:problem:media-type", f"A PATCH carries {SDPFRAG_MEDIA_TYPE}"
            )
        if error := self.not_found():
            return error
        if not if_match:
            return ResourceError(428, "urn:oakcroft:problem:if-match", "A PATCH needs If-Match")
        any_tag = "*" in if_match
        if not any_tag and f'"{self.etag}"' not in if_match:
            return ResourceError(412, "urn:oakcroft:problem:stale", "That ICE session is no longer in force")
        if self.phase is ResourcePhase.RESTARTING:
            return ResourceError(409, "urn:oakcroft:problem:restarting", "An ICE restart is at work")
        if ufrag and ufrag != self.ufrag:
            if not any_tag:
                return ResourceError(412, "urn:oakcroft:problem:stale", "A restart comes with If-Match: *")
            self._set_phase(ResourcePhase.RESTARTING)
            return ResourceAction.RESTART
        if any_tag:
            return ResourceError(
                422, "urn:oakcroft:problem:no-restart", "If-Match: * asks for a restart, but the ufrag is old"
            )
        if self.candidate_count + candidate_count > self.max_candidates:
            return ResourceError(
                422, "urn:oakcroft:problem:candidates", f"More than {self.max_candidates} candidates"
            )
        self.candidate_count += candidate_count
        return ResourceAction.TRICKLE

    def restart_succeeded(self, etag: str, ufrag: str) -> None:
        """Handles the node's new ICE session."""
        if self.phase is ResourcePhase.RESTARTING:
            self._set_phase(ResourcePhase.LIVE)
            self.etag, self.ufrag, self.candidate_count = etag, ufrag, 0

    def restart_failed(self) -> None:
        """Handles a restart that the node refused or did not answer: the old ICE session stays (RFC 9725 4.3.3)."""
        if self.phase is ResourcePhase.RESTARTING:
            self._set_phase(ResourcePhase.LIVE)

    def delete(self) -> ResourceAction | ResourceError:
        """Checks a DELETE; a second one gets 404."""
        if error := self.not_found():
            return error
        self._set_phase(ResourcePhase.ENDING)
        return ResourceAction.END

    def end(self) -> None:
        """Handles the end of the playback; may be called more than once."""
        if self.phase is not ResourcePhase.ENDED:
            self._set_phase(ResourcePhase.ENDED)
