"""Client library for oakcroft front ends: WHEP and WHIP over HTTP, the session API over WebSocket, and safe retries."""

from oakcroft.client.retry import Refused, Retries, Unsure
from oakcroft.client.session import SessionClient
from oakcroft.client.whep import WhepClient

__all__ = ["Refused", "Retries", "SessionClient", "Unsure", "WhepClient"]
