"""What belongs to one playback outside the module: its id, its viewer's connection, its description and its try."""

from __future__ import annotations

from typing import TYPE_CHECKING

from oakcroft.interface import Playback

if TYPE_CHECKING:
    from oakcroft.platform.pool import NodeLink, Pool
    from oakcroft.platform.viewers import ViewerLink


class Ticket:
    """One playback's ends; the playback itself has the state."""

    def __init__(
        self, session: str, pb: Playback, plan_name: str, description: str, viewer: ViewerLink | None
    ) -> None:
        self.id, self.pb, self.plan_name, self.description, self.viewer = (
            session,
            pb,
            plan_name,
            description,
            viewer,
        )
        self.pool: Pool | None = None  # of its try, or of the node where it plays
        self.link: NodeLink | None = None  # on which its set-up is out
        self.until = self.timer = self.began_at = 0  # of its try
