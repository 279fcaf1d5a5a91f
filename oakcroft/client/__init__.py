"""A client of oakcroft's fronts: WHEP and WHIP over HTTP, and the session API over WebSocket, with safe repeats."""

from oakcroft.client.retry import Refused, Retries, Unsure
from oakcroft.client.session import SessionClient
from oakcroft.client.whep import WhepClient

__all__ = ["Refused", "Retries", "SessionClient", "Unsure", "WhepClient"]
