"""Builds the settings that a front end runs with from a resolved configuration."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import fields, replace
from typing import Any

from oakcroft.config import forms
from oakcroft.config.resolved import ResolvedConfig, resolve_fields
from oakcroft.config.schema import Record
from oakcroft.config.settings import (
    Deployment,
    TitlePlacement,
    OtherZone,
    PeerSettings,
    PlanTerms,
    SharedSettings,
    FrontSettings,
    BearerToken,
)
from oakcroft.decisions.admission.connection_limits import ConnectionLimits
from oakcroft.decisions.admission.service_levels import (
    LevelBounds,
    LevelEffects,
    ServiceLevel,
    SignalThreshold,
    LoadSignal,
)
from oakcroft.decisions.admission.request_limits import RequestLimit, LimitScope
from oakcroft.decisions.fleet.session_takeover import TakeoverBounds
from oakcroft.decisions.routing.pools import Pool
from oakcroft.decisions.routing.route_table import Match, Route, RouteTable, ClientRole
from oakcroft.decisions.routing.configuration_version import plan_families
from oakcroft.decisions.routing.zone_preference import ZonePreferenceBounds
from oakcroft.interface import SECOND, Effect, KeyScope, Plan, DeploymentSettings

FieldValues = Mapping[str, Any]
"""Resolved values of one form by field name."""

ANY_LOCAL_PORT = ("127.0.0.1", 0)
"""The addresses of a configuration without (front …): any free local port."""

DEFAULT_TRIES_WINDOW_NS = 10 * SECOND
"""The window of a tries budget that is not configured. Nothing is counted against it."""

PERCENT = 100


def build_deployment(resolved: ResolvedConfig, known_families: Mapping[str, int] | None = None) -> Deployment:
    """Builds the deployment settings of a front end from a resolved configuration.

    `known_families` holds the family numbers of plans that are already in use; they are kept, so that seats are
    counted across versions of the configuration.
    """
    front = resolved.get("front") or _default_front_values()
    list_host, list_port = front["list-service"]
    host, port = front["listen"]
    front_settings = FrontSettings(
        host=host,
        port=port,
        list_service_host=list_host,
        list_service_port=list_port,
        node_list_file=front["kept"],
        state_file=front["state"],
        is_state_synced=_is_yes(front["state-sync"]),
        zone=front["zone"],
        seed=front["seed"],
        log_format=front["log"],
        peers=_peer_settings(resolved, front["zone"]) if "peers" in resolved else None,
    )
    return Deployment(
        _shared_settings(resolved, front["number"], known_families or {}), front_settings, resolved
    )


def _default_front_values() -> dict[str, Any]:
    defaults = {field.name: field.default for field in forms.FRONT.fields}
    return defaults | {"listen": ANY_LOCAL_PORT, "list-service": ANY_LOCAL_PORT}


def _is_yes(answer: str) -> bool:
    return answer == "yes"


def _shared_settings(
    resolved: ResolvedConfig, front_index: int, known_families: Mapping[str, int]
) -> SharedSettings:
    fleet = resolved["fleet"]
    signalling = resolved["signalling"]
    nodes = resolved["nodes"]
    shutdown = resolved["stopping"]
    preference = resolved.get("preference")
    levels_by_rank = sorted(resolved["level"].items(), key=lambda level: level[1]["rank"])
    return SharedSettings(
        terms=_terms(fleet, resolved["ladder"], front_index),
        plans=_plans(resolved, known_families),
        route_table=RouteTable(build_route(name, route) for name, route in resolved["route"].items()),
        pools={name: build_pool(name, pool) for name, pool in resolved["pool"].items()},
        limits=tuple(build_limit(name, limit) for name, limit in resolved["limit"].items()),
        tokens=_tokens(resolved["token"]),
        titles={
            name: TitlePlacement(title["home"], title["copies"]) for name, title in resolved["title"].items()
        },
        copy_count=fleet["copies"],
        ice_servers=tuple(signalling["ice-servers"]),
        connection_limits=replace(ConnectionLimits(), **_by_field_name(ConnectionLimits, resolved["door"])),
        answer_margin_ns=signalling["way-back"],
        drain_grace_ns=fleet["drain-grace"],
        default_drain_notice_ns=fleet["usual-notice"],
        drain_timeout_ns=shutdown["drain-within"],
        leave_timeout_ns=shutdown["leave-within"],
        silence_timeout_ns=nodes["silent-after"],
        loss_timeout_ns=nodes["lost-after"],
        connect_timeout_ns=nodes["connect-within"],
        list_timeout_ns=nodes["list-within"],
        key_retention_ns=signalling["keep-keys"],
        operator_token_digest=bytes.fromhex(resolved["operators"]["secret"]),
        levels=tuple(build_level(name, level) for name, level in levels_by_rank),
        level_bounds=LevelBounds(**_by_field_name(LevelBounds, resolved["levels"])),
        zone_preference=ZonePreferenceBounds(**_by_field_name(ZonePreferenceBounds, preference))
        if preference is not None
        else None,
        preferred_zones=tuple(preference["then"] or fleet["wings"]) if preference is not None else (),
    )


def _by_field_name(bounds: Any, values: FieldValues) -> dict[str, Any]:
    """Returns the values of a form that a dataclass has fields for, by the dataclass's field names."""
    return {field.name: values[field.name.replace("_", "-")] for field in fields(bounds)}


def _terms(fleet: FieldValues, ladder: FieldValues, front_index: int) -> DeploymentSettings:
    budget = fleet["tries-budget"]
    return DeploymentSettings(
        front_count=fleet["fronts"],
        front_index=front_index,
        must_subscribe=False,
        subscribe_within_ns=0,
        cell_count=fleet["cells"],
        rack_count=fleet["racks"],
        rung_rates=ladder["rates"],
        rung_revenue_shares=ladder["worth"],
        uplink_capacity=fleet["uplink"],
        join_rate_share=fleet["join-adds"],
        report_delay_ns=fleet["seen-after"],
        report_interval_ns=fleet["reports-every"],
        max_tries=fleet["most-tries"],
        max_retry_after_ns=fleet["stay-away-most"],
        cold_pace_share=fleet["cold-share"],
        cold_duration_ns=fleet["cold-for"],
        overload_multiple=fleet["fall-multiple"],
        overload_window_ns=fleet["fall-window"],
        retry_budget_base=budget["free"] if budget else None,
        retry_budget_share=budget["share"] if budget else 0.0,
        retry_budget_window_ns=budget["window"] if budget else DEFAULT_TRIES_WINDOW_NS,
    )


def _plans(resolved: ResolvedConfig, known_families: Mapping[str, int]) -> dict[str, PlanTerms]:
    rung_count = len(resolved["ladder"]["rates"])
    family_numbers = plan_families(known_families, list(resolved["plan"]))
    return {
        name: build_plan(name, plan, rung_count, family_numbers[name])
        for name, plan in resolved["plan"].items()
    }


def _tokens(tokens: Mapping[str, FieldValues]) -> dict[bytes, BearerToken]:
    return {
        bytes.fromhex(token["secret"]): BearerToken(name, dict(token["claim"]))
        for name, token in tokens.items()
    }


def _peer_settings(resolved: ResolvedConfig, own_zone: str) -> PeerSettings:
    """Builds a front end's peer settings, with those of the functions that depend on its peers."""
    peers = resolved["peers"]
    acceptors = resolved.get("keepers")
    takeover = resolved.get("adopting")
    probing = resolved.get("probing")
    zones = resolved["zone"]
    own_zone_values = zones.get(own_zone, {"region": "", "seeds": ()})
    return PeerSettings(
        name=peers["name"],
        listen=peers["listen"],
        advertise=peers["advertise"] or peers["listen"],
        seeds=tuple(dict.fromkeys([*peers["seeds"], *own_zone_values["seeds"]])),
        key_file=peers["key-file"],
        fleet_name=peers["fleet"],
        start_count_file=peers["starts"],
        lease_acceptors=tuple(acceptors["names"]) if acceptors is not None else (),
        term_ns=acceptors["term"] if acceptors is not None else 0,
        probe_interval_ns=probing["every"] if probing is not None else 0,
        takeover_bounds=TakeoverBounds(takeover["after"], takeover["lease"], takeover["most"])
        if takeover is not None
        else None,
        region=own_zone_values["region"],
        other_zones=tuple(
            OtherZone(name, zone["region"], tuple(zone["seeds"]))
            for name, zone in zones.items()
            if name != own_zone
        ),
    )


def build_route(name: str, values: FieldValues) -> Route:
    """Builds a route from its resolved field values."""
    role = ClientRole(values["for"])
    match = Match(role, values["path"], tuple(values["titles"]), values["wing"], tuple(values["claim"]))
    return Route(name, match, values["plan"], values["pool"], values["top"])


def build_route_from_record(name: str, record: Record) -> Route:
    """Builds a route from its record."""
    return build_route(name, resolve_fields(record))


def build_pool(name: str, values: FieldValues) -> Pool:
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


def build_pool_from_record(name: str, record: Record) -> Pool:
    """Builds a node pool from its record."""
    return build_pool(name, resolve_fields(record))


def build_limit(name: str, values: FieldValues) -> RequestLimit:
    """Builds a limit from its resolved field values."""
    scope, *names = values["on"]
    subject = names[0] if names else ""
    is_fleet_wide = values["of"] == "whole"
    return RequestLimit(
        name, LimitScope(scope), subject, values["rate"], values["burst"], values["at-once"], is_fleet_wide
    )


def build_limit_from_record(name: str, record: Record) -> RequestLimit:
    """Builds a limit from its record."""
    return build_limit(name, resolve_fields(record))


def build_level(name: str, values: FieldValues) -> ServiceLevel:
    """Builds a service level from its resolved field values."""
    thresholds = tuple(
        SignalThreshold(LoadSignal(signal), float(values[signal][0]), float(values[signal][1]))
        for signal in forms.SIGNAL_FIELDS
        if values[signal]
    )
    admits = {plan: _parse_share(share) for plan, share in values["admits"]}
    return ServiceLevel(
        name,
        thresholds,
        LevelEffects(values["top"], admits, _is_yes(values["moves"]), _is_yes(values["upkeep"])),
    )


def _parse_share(text: str) -> float:
    """Parses a share that is written as a fraction or a percentage, such as 0.2 or 20%."""
    return float(text.removesuffix("%")) / (PERCENT if text.endswith("%") else 1)


def build_plan(name: str, values: FieldValues, rung_count: int, family_number: int) -> PlanTerms:
    """Builds a plan from its resolved field values. The top rung is bounded by the ladder's `rung_count`."""
    top = rung_count - 1 if values["top"] is None else min(values["top"], rung_count - 1)
    plan = Plan(
        effect=Effect(values["effect"]),
        key_scope=KeyScope(values["group"]),
        key_ttl_ns=values["key-lasts"],
        startup_target_ns=values["startup-target"],
        revenue=values["revenue"],
        floor=values["floor"],
        top_rung=top,
        seats=values["seats"],
        rate_factor=values["rate-factor"],
        shares_stream=_is_yes(values["shares-stream"]),
        family_id=family_number,
    )
    return PlanTerms(name, plan, values["abandon"])
