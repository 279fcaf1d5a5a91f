"""The derived load: what each role has to carry a second, on the mean and in the worst hours that the users name."""

from __future__ import annotations

from dataclasses import dataclass

from benchmarks.capacity import assumptions as assumed
from benchmarks.capacity.targets import DAY_S, HOUR_S, TARGET, Target

LIST_CHANGES_PER_RESTART = 3
"""A node that is replaced drains, goes, and is there again: three changes of the list."""


@dataclass(frozen=True)
class Demand:
    """One line of the derived load."""

    role: str
    quantity: str
    unit: str
    mean: float
    worst: float
    worst_hour: str


def connections_per_front(target: Target = TARGET) -> float:
    """Held by one front end."""
    return target.connections / target.fronts


def deliveries_per_front(target: Target = TARGET) -> float:
    """A second, on the mean."""
    return target.deliveries_per_s / target.fronts


def arrivals_per_front(target: Target = TARGET) -> float:
    """Set-ups a second, on the mean: what is held, over how long it is."""
    return connections_per_front(target) / assumed.SESSION_LENGTH_S.value


def changes_per_s(target: Target = TARGET) -> float:
    """Changes of configuration a second, on the mean."""
    return target.changes_per_day / DAY_S


def burst_changes_per_s(target: Target = TARGET) -> float:
    """The same in a burst."""
    return changes_per_s(target) * assumed.BURST_OVER_MEAN.value


def fronts_of_largest_zone(target: Target = TARGET) -> float:
    """Lost at once with it."""
    return target.fronts / target.zones * assumed.LARGEST_ZONE_OVER_MEAN.value


def fronts_of_largest_region(target: Target = TARGET) -> float:
    """Cut off or lost with it."""
    return target.fronts / target.regions * assumed.LARGEST_REGION_OVER_MEAN.value


def release_restarts_per_s(target: Target = TARGET) -> float:
    """Restarts a second in a release."""
    return target.release_restarts_per_hour / HOUR_S


def listeners_per_front(target: Target = TARGET) -> float:
    """Of the largest topic, on the mean front."""
    return target.largest_topic_listeners / target.fronts


def titles_in_use(sessions: float, target: Target = TARGET) -> float:
    """Different titles among the sessions of one front, each drawn by the titles' popularity whatever the front."""
    weights = [rank**-assumed.TITLE_SKEW.value for rank in range(1, target.topic_shards + 1)]
    whole = sum(weights)
    return sum(1 - float((1 - weight / whole) ** sessions) for weight in weights)


def survivor_load_factor(lost: float, target: Target = TARGET) -> float:
    """How much more each front that is left carries when so many are lost."""
    return target.fronts / (target.fronts - lost)


def demand_lines(target: Target = TARGET) -> list[Demand]:
    """The derived load, a line a role and quantity."""
    peak = assumed.PEAK_OVER_MEAN.value
    zone, region = fronts_of_largest_zone(target), fronts_of_largest_region(target)
    held, arrivals = connections_per_front(target), arrivals_per_front(target)
    reconnects = held * (survivor_load_factor(region, target) - 1)
    missed = changes_per_s(target) * target.region_apart_s
    topic, octets = listeners_per_front(target), assumed.CHANGE_OCTETS.value
    return [
        Demand("front end", "sessions held", "a front", held, held * survivor_load_factor(region, target),
               "the largest region lost, its viewers spread over the rest"),
        Demand("front end", "deliveries", "a second a front", deliveries_per_front(target),
               deliveries_per_front(target) * peak * survivor_load_factor(region, target), "the same at the peak of a day"),
        Demand("front end", "set-ups", "a second a front", arrivals, arrivals * peak + reconnects / 60,
               "the same, its viewers back within a minute"),
        Demand("front end", "restarts", "a second in the fleet", target.restarts_per_day / DAY_S,
               release_restarts_per_s(target), "a release of 600 in an hour"),
        Demand("membership", "changes of members", "a second in the fleet",
               (2 * target.restarts_per_day + target.failures_per_day) / DAY_S, zone / 10,
               "the largest zone lost, within ten seconds"),
        Demand("membership", "members cut off at once", "fronts", 0.0, region, "the largest region cut off for an hour"),
        Demand("lists of nodes", "changes of the list", "a second", LIST_CHANGES_PER_RESTART * target.restarts_per_day / DAY_S,
               LIST_CHANGES_PER_RESTART * release_restarts_per_s(target), "a release of 600 nodes in an hour"),
        Demand("configuration", "changes", "a second", changes_per_s(target), burst_changes_per_s(target),
               "a burst of ten times the mean"),
        Demand("configuration", "octets of changes alone", "a second", changes_per_s(target) * octets,
               burst_changes_per_s(target) * octets, "the same"),
        Demand("configuration", "changes missed by a region", "changes", 0.0, missed, "a region back after an hour"),
        Demand("fan-out", "listeners of the largest topic", "a front", topic, topic * assumed.LARGEST_TOPIC_SKEW.value,
               "they gather in a few regions"),
        Demand("takeover", "fronts whose sessions pass on", "at once", target.failures_per_day / DAY_S, zone,
               "the largest zone lost; the mean is a second's failures"),
        Demand("takeover", "sessions that pass on", "at once", held * target.failures_per_day / DAY_S, held * zone,
               "the same"),
    ]  # fmt: skip


def worst_load(role: str, quantity: str) -> float:
    """Of one line, in its worst hour."""
    return next(line.worst for line in demand_lines() if (line.role, line.quantity) == (role, quantity))
