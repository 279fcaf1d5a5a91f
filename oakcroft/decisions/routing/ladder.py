"""A viewer's best rung, from what its offer says that it can take."""

from __future__ import annotations

from collections.abc import Sequence


def best_rung(rates: Sequence[float], rate_factor: float, takes: float | None) -> int:
    """The highest rung whose rate stays within `takes`, in bytes a second; the lowest where none does.

    `rates` are the ladder's in kB a second, before the plan's factor. Without a figure every rung is open.
    """
    if takes is None:
        return len(rates) - 1
    fits = [i for i, rate in enumerate(rates) if rate * rate_factor * 1000 <= takes]
    return fits[-1] if fits else 0


def bytes_a_second(application_kbit: int | None, tias_bit: int | None) -> float | None:
    """From `b=AS` (RFC 8866 5.8, kbit/s with headers) or `b=TIAS` (RFC 3890, bit/s without); TIAS counts first."""
    if tias_bit is not None:
        return tias_bit / 8
    return application_kbit * 1000 / 8 if application_kbit is not None else None


def rung_wished(wish: str, floor: int, top: int) -> int | None:
    """The rung that a viewer names by layer selection; None where the name is no rung that it may have."""
    if not wish.isascii() or not wish.isdigit() or len(wish) > 3:
        return None
    rung = int(wish)
    return rung if floor <= rung <= top else None
