"""Builds the settings that a front end runs with from a resolved configuration."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import fields, replace
from typing import Any

from oakcroft.config import forms
from oakcroft.config.resolved import Meaning, plain_values
from oakcroft.config.schema import Record
from oakcroft.config.settings import Deployment, Holding, OtherZone, PeersPlace, PlanTerms, Site, Stand, Token
from oakcroft.decisions.admission.connection_limits import Bounds
from oakcroft.decisions.admission.service_levels import Acts, Level, Mark, Sign
from oakcroft.decisions.admission.service_levels import Bounds as LevelBounds
from oakcroft.decisions.admission.request_limits import Limit, Scope
from oakcroft.decisions.fleet.session_takeover import Bounds as AdoptingBounds
from oakcroft.decisions.routing.pools import Pool
from oakcroft.decisions.routing.route_table import Match, Route, RouteTable, Side
from oakcroft.decisions.routing.configuration_version import families
from oakcroft.decisions.routing.zone_preference import Bounds as WingBounds
from oakcroft.interface import SECOND, Effect, Group, Plan, Terms

Fields = Mapping[str, Any]
"""Resolved values of one form by field name."""

NO_ADDRESS = ("127.0.0.1", 0)
"""The addresses of a configuration without (front …): any free local port."""

TRIES_WINDOW_NS = 10 * SECOND
"""The window of a tries budget that is not configured. Nothing is counted against it."""

PERCENT = 100


def told(meaning: Meaning, known_families: Mapping[str, int] | None = None) -> Deployment:
    """Builds the deployment settings of a front end from a resolved configuration.

    `known_families` holds the family numbers of plans that are already in use; they are kept, so that seats are
    counted across versions of the configuration.
    """
    front = meaning.get("front") or _default_front()
    list_host, list_port = front["list-service"]
    host, port = front["listen"]
    stand = Stand(
        host=host, port=port, list_host=list_host, list_port=list_port, kept=front["kept"], state=front["state"],
        state_sync=_is_yes(front["state-sync"]), zone=front["zone"], seed=front["seed"], log=front["log"],
        peers=_peers_place(meaning, front["zone"]) if "peers" in meaning else None,
    )  # fmt: skip
    return Deployment(_site(meaning, front["number"], known_families or {}), stand, meaning)


def _default_front() -> dict[str, Any]:
    defaults = {field.name: field.default for field in forms.FRONT.fields}
    return defaults | {"listen": NO_ADDRESS, "list-service": NO_ADDRESS}


def _is_yes(answer: str) -> bool:
    return answer == "yes"


def _site(meaning: Meaning, front: int, known_families: Mapping[str, int]) -> Site:
    fleet, signalling = meaning["fleet"], meaning["signalling"]
    nodes, stopping = meaning["nodes"], meaning["stopping"]
    preference = meaning.get("preference")
    levels = sorted(meaning["level"].items(), key=lambda level: level[1]["rank"])
    return Site(
        terms=_terms(fleet, meaning["ladder"], front), plans=_plans(meaning, known_families),
        table=RouteTable(route_of(name, route) for name, route in meaning["route"].items()),
        pools={name: pool_of(name, pool) for name, pool in meaning["pool"].items()},
        limits=tuple(limit_of(name, limit) for name, limit in meaning["limit"].items()),
        tokens=_tokens(meaning["token"]),
        titles={name: Holding(title["home"], title["copies"]) for name, title in meaning["title"].items()},
        copies=fleet["copies"], ice=tuple(signalling["ice-servers"]),
        bounds=replace(Bounds(), **_by_field_name(Bounds, meaning["door"])), way_back=signalling["way-back"],
        drain_grace=fleet["drain-grace"], usual_notice=fleet["usual-notice"], drain_within=stopping["drain-within"],
        leave_within=stopping["leave-within"], silent_after=nodes["silent-after"], lost_after=nodes["lost-after"],
        connect_within=nodes["connect-within"], list_within=nodes["list-within"], keep_keys=signalling["keep-keys"],
        operators=bytes.fromhex(meaning["operators"]["secret"]),
        levels=tuple(level_of(name, level) for name, level in levels),
        level_bounds=LevelBounds(**_by_field_name(LevelBounds, meaning["levels"])),
        preference=WingBounds(**_by_field_name(WingBounds, preference)) if preference is not None else None,
        then=tuple(preference["then"] or fleet["wings"]) if preference is not None else (),
    )  # fmt: skip


def _by_field_name(bounds: Any, values: Fields) -> dict[str, Any]:
    """Returns the values of a form that a dataclass has fields for, by the dataclass's field names."""
    return {field.name: values[field.name.replace("_", "-")] for field in fields(bounds)}


def _terms(fleet: Fields, ladder: Fields, front: int) -> Terms:
    budget = fleet["tries-budget"]
    return Terms(
        fronts=fleet["fronts"], front=front, must_follow=False, ask_within=0, cells=fleet["cells"],
        racks=fleet["racks"], rates=ladder["rates"], rung_worth=ladder["worth"], uplink=fleet["uplink"],
        join_adds=fleet["join-adds"], seen_after=fleet["seen-after"], reports_every=fleet["reports-every"],
        most_tries=fleet["most-tries"], stay_away_most=fleet["stay-away-most"], cold_share=fleet["cold-share"],
        cold_for=fleet["cold-for"], fall_multiple=fleet["fall-multiple"], fall_window=fleet["fall-window"],
        tries_free=budget["free"] if budget else None, tries_share=budget["share"] if budget else 0.0,
        tries_window=budget["window"] if budget else TRIES_WINDOW_NS,
    )  # fmt: skip


def _plans(meaning: Meaning, known_families: Mapping[str, int]) -> dict[str, PlanTerms]:
    rungs = len(meaning["ladder"]["rates"])
    numbers = families(known_families, list(meaning["plan"]))
    return {name: plan_of(name, plan, rungs, numbers[name]) for name, plan in meaning["plan"].items()}


def _tokens(tokens: Mapping[str, Fields]) -> dict[bytes, Token]:
    return {
        bytes.fromhex(token["secret"]): Token(name, dict(token["claim"])) for name, token in tokens.items()
    }


def _peers_place(meaning: Meaning, own_zone: str) -> PeersPlace:
    """Builds a front end's peer settings, with those of the functions that depend on its peers."""
    peers, keepers = meaning["peers"], meaning.get("keepers")
    adopting, probing = meaning.get("adopting"), meaning.get("probing")
    zones = meaning["zone"]
    own = zones.get(own_zone, {"region": "", "seeds": ()})
    return PeersPlace(
        name=peers["name"], listen=peers["listen"], advertise=peers["advertise"] or peers["listen"],
        seeds=tuple(dict.fromkeys([*peers["seeds"], *own["seeds"]])), key_file=peers["key-file"], fleet=peers["fleet"],
        starts=peers["starts"], keepers=tuple(keepers["names"]) if keepers is not None else (),
        term=keepers["term"] if keepers is not None else 0, probes=probing["every"] if probing is not None else 0,
        adopts=AdoptingBounds(adopting["after"], adopting["lease"], adopting["most"]) if adopting is not None else None,
        region=own["region"], other_zones=tuple(
            OtherZone(name, zone["region"], tuple(zone["seeds"])) for name, zone in zones.items() if name != own_zone
        ),
    )  # fmt: skip


def route_of(name: str, values: Fields) -> Route:
    """Builds a route from its resolved field values."""
    side = Side(values["for"])
    match = Match(side, values["path"], tuple(values["titles"]), values["wing"], tuple(values["claim"]))
    return Route(name, match, values["plan"], values["pool"], values["top"])


def route_of_record(name: str, record: Record) -> Route:
    """Builds a route from its record."""
    return route_of(name, plain_values(record))


def pool_of(name: str, values: Fields) -> Pool:
    """Builds a node pool from its resolved field values."""
    return Pool(
        name,
        values["wings"],
        values["racks"],
        values["kinds"],
        values["tags"],
        values["nodes"],
        values["but"],
    )


def pool_of_record(name: str, record: Record) -> Pool:
    """Builds a node pool from its record."""
    return pool_of(name, plain_values(record))


def limit_of(name: str, values: Fields) -> Limit:
    """Builds a limit from its resolved field values."""
    scope, *names = values["on"]
    on = names[0] if names else ""
    is_whole = values["of"] == "whole"
    return Limit(name, Scope(scope), on, values["rate"], values["burst"], values["at-once"], is_whole)


def limit_of_record(name: str, record: Record) -> Limit:
    """Builds a limit from its record."""
    return limit_of(name, plain_values(record))


def level_of(name: str, values: Fields) -> Level:
    """Builds a service level from its resolved field values."""
    marks = tuple(
        Mark(Sign(sign), float(values[sign][0]), float(values[sign][1]))
        for sign in forms.SIGNS
        if values[sign]
    )
    admits = {plan: _share(share) for plan, share in values["admits"]}
    return Level(
        name, marks, Acts(values["top"], admits, _is_yes(values["moves"]), _is_yes(values["upkeep"]))
    )


def _share(text: str) -> float:
    """Parses a share that is written as a fraction or a percentage, such as 0.2 or 20%."""
    return float(text.removesuffix("%")) / (PERCENT if text.endswith("%") else 1)


def plan_of(name: str, values: Fields, rungs: int, family: int) -> PlanTerms:
    """Builds a plan from its resolved field values. The top rung is bounded by the ladder's `rung_count`."""
    top = rungs - 1 if values["top"] is None else min(values["top"], rungs - 1)
    plan = Plan(
        effect=Effect(values["effect"]), group=Group(values["group"]), key_lasts=values["key-lasts"],
        startup_target=values["startup-target"], revenue=values["revenue"], floor=values["floor"], top=top,
        seats=values["seats"], rate_factor=values["rate-factor"], shares_stream=_is_yes(values["shares-stream"]),
        family=family,
    )  # fmt: skip
    return PlanTerms(name, plan, values["abandon"])
