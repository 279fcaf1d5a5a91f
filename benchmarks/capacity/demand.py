"""The derived load of each role, as a mean and in the worst hours that the users describe."""

from __future__ import annotations

from dataclasses import dataclass

from benchmarks.capacity import assumptions as assumed
from benchmarks.capacity.targets import DAY_S, HOUR_S, TARGET, Target

LIST_CHANGES_PER_RESTART = 3
"""A node that is replaced drains, leaves the list and appears again."""
RECONNECT_TIME_S = 60
"""Time in which the viewers of a lost region reconnect."""
ZONE_LOSS_TIME_S = 10
"""Time in which the front ends of a lost zone fail."""


@dataclass(frozen=True)
class Demand:
    """One line of the derived load. `worst_hour` says which event the value `worst` belongs to."""

    role: str
    quantity: str
    unit: str
    mean: float
    worst: float
    worst_hour: str


def connections_per_front(target: Target = TARGET) -> float:
    """Returns the connections that one front end holds."""
    return target.connections / target.fronts


def deliveries_per_front(target: Target = TARGET) -> float:
    """Returns the mean deliveries per second of one front end."""
    return target.deliveries_per_s / target.fronts


def arrivals_per_front(target: Target = TARGET) -> float:
    """Returns the mean set-ups per second of one front end: sessions held over session length."""
    return connections_per_front(target) / assumed.SESSION_LENGTH_S.value


def changes_per_s(target: Target = TARGET) -> float:
    """Returns the mean configuration changes per second."""
    return target.changes_per_day / DAY_S


def burst_changes_per_s(target: Target = TARGET) -> float:
    """Returns the configuration changes per second in a burst."""
    return changes_per_s(target) * assumed.BURST_OVER_MEAN.value


def fronts_of_largest_zone(target: Target = TARGET) -> float:
    """Returns the number of front ends in the largest zone."""
    return target.fronts / target.zones * assumed.LARGEST_ZONE_OVER_MEAN.value


def fronts_of_largest_region(target: Target = TARGET) -> float:
    """Returns the number of front ends in the largest region."""
    return target.fronts / target.regions * assumed.LARGEST_REGION_OVER_MEAN.value


def release_restarts_per_s(target: Target = TARGET) -> float:
    """Returns the restarts per second during a release."""
    return target.release_restarts_per_hour / HOUR_S


def listeners_per_front(target: Target = TARGET) -> float:
    """Returns the listeners of the largest topic at the mean front end."""
    return target.largest_topic_listeners / target.fronts


def titles_in_use(sessions: float, target: Target = TARGET) -> float:
    """Returns the expected number of different titles among the sessions of one front end.

    The title of each session is drawn by popularity, independently of the front end.
    """
    weights = [rank**-assumed.TITLE_SKEW.value for rank in range(1, target.topic_shards + 1)]
    total = sum(weights)
    return sum(1 - float((1 - weight / total) ** sessions) for weight in weights)


def survivor_load_factor(lost: float, target: Target = TARGET) -> float:
    """Returns the factor by which the load of each remaining front end grows when `lost` front ends fail."""
    return target.fronts / (target.fronts - lost)


def demand_lines(target: Target = TARGET) -> list[Demand]:
    """Returns the derived load, one line per role and quantity."""
    peak = assumed.PEAK_OVER_MEAN.value
    zone_fronts = fronts_of_largest_zone(target)
    region_fronts = fronts_of_largest_region(target)
    held = connections_per_front(target)
    arrivals = arrivals_per_front(target)
    region_loss_factor = survivor_load_factor(region_fronts, target)
    reconnects = held * (region_loss_factor - 1)
    missed = changes_per_s(target) * target.region_apart_s
    listeners = listeners_per_front(target)
    change_octets = assumed.CHANGE_OCTETS.value
    list_changes = LIST_CHANGES_PER_RESTART * target.restarts_per_day / DAY_S
    return [
        Demand("front end", "sessions held", "per front", held, held * region_loss_factor,
               "loss of the largest region, its viewers spread over the others"),
        Demand("front end", "deliveries", "per second and front", deliveries_per_front(target),
               deliveries_per_front(target) * peak * region_loss_factor, "the same at the daily peak"),
        Demand("front end", "set-ups", "per second and front", arrivals, arrivals * peak + reconnects / RECONNECT_TIME_S,
               "the same, with its viewers reconnecting within a minute"),
        Demand("front end", "restarts", "per second in the fleet", target.restarts_per_day / DAY_S,
               release_restarts_per_s(target), "a release that restarts 600 in an hour"),
        Demand("membership", "membership changes", "per second in the fleet",
               (2 * target.restarts_per_day + target.failures_per_day) / DAY_S, zone_fronts / ZONE_LOSS_TIME_S,
               "loss of the largest zone within ten seconds"),
        Demand("membership", "members partitioned at once", "fronts", 0.0, region_fronts,
               "the largest region partitioned for an hour"),
        Demand("lists of nodes", "changes of the list", "per second", list_changes,
               LIST_CHANGES_PER_RESTART * release_restarts_per_s(target),
               "a release that restarts 600 nodes in an hour"),
        Demand("configuration", "changes", "per second", changes_per_s(target), burst_changes_per_s(target),
               "a burst of ten times the mean"),
        Demand("configuration", "octets of the changes alone", "per second", changes_per_s(target) * change_octets,
               burst_changes_per_s(target) * change_octets, "the same"),
        Demand("configuration", "changes missed by a region", "changes", 0.0, missed,
               "a region reconnected after an hour"),
        Demand("fan-out", "listeners of the largest topic", "per front", listeners,
               listeners * assumed.LARGEST_TOPIC_SKEW.value, "listeners concentrated in a few regions"),
        Demand("takeover", "fronts whose sessions are taken over", "at once", target.failures_per_day / DAY_S,
               zone_fronts, "loss of the largest zone; the mean is the failures of one second"),
        Demand("takeover", "sessions that are taken over", "at once", held * target.failures_per_day / DAY_S,
               held * zone_fronts, "the same"),
    ]  # fmt: skip


def worst_load(role: str, quantity: str) -> float:
    """Returns the load of one line in its worst hour."""
    return next(line.worst for line in demand_lines() if (line.role, line.quantity) == (role, quantity))
