"""Rungs for a viewer, from the bandwidth in its SDP offer and from its layer selection."""

from __future__ import annotations

from collections.abc import Sequence

MAX_RUNG_DIGITS = 3
"""Longest rung number in a layer selection; longer ones are rejected before they are converted."""


def best_rung(rates: Sequence[float], rate_factor: float, max_rate: float | None) -> int:
    """Returns the highest rung whose rate is within `max_rate` bytes a second, or the lowest rung where none is.

    `rates` are those of the ladder in kB a second, to be multiplied by the plan's `rate_factor`. Without a `max_rate`
    every rung is allowed.
    """
    if max_rate is None:
        return len(rates) - 1
    fitting_rungs = [rung for rung, rate in enumerate(rates) if rate * rate_factor * 1000 <= max_rate]
    return fitting_rungs[-1] if fitting_rungs else 0


def offered_rate(application_kbit: int | None, tias_bit: int | None) -> float | None:
    """Returns the rate that an offer allows in bytes a second, None where it names none.

    `application_kbit` is `b=AS` (RFC 8866 5.8, kbit/s with headers), `tias_bit` is `b=TIAS` (RFC 3890, bit/s without
    headers); TIAS takes precedence.
    """
    if tias_bit is not None:
        return tias_bit / 8
    return application_kbit * 1000 / 8 if application_kbit is not None else None


def requested_rung(requested: str, floor: int, top: int) -> int | None:
    """Returns the rung that a layer selection requests, None where it is no rung from `floor` to `top`."""
    if not requested.isascii() or not requested.isdigit() or len(requested) > MAX_RUNG_DIGITS:
        return None
    rung = int(requested)
    return rung if floor <= rung <= top else None
