"""The operators' HTTP interface: the catalogue and its versions, service levels, the fleet and the front end's status.

Every request needs the operators' bearer token (RFC 6750). A change to the catalogue names the version that it was made
from in If-Match (RFC 9110 13.1.1).
"""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Callable
from http import HTTPStatus
from typing import Protocol

import orjson

from oakcroft.catalogue.syntax import CatalogueError
from oakcroft.decisions.routing.catalogue import CatalogueVerdict
from oakcroft.front.durable_state import FrontEndState
from oakcroft.front.catalogue_versions import ChangeResult, CatalogueVersions
from oakcroft.front.request_checks import RequestError
from oakcroft.front.session_coordinator import SessionCoordinator
from oakcroft.front.service_levels import ServiceLevelControl
from oakcroft.front.zone_routing import ZoneRouter
from oakcroft.interface import MS, SECOND
from oakcroft.httpwire.message import Headers, Request, Response
from oakcroft.signalling import http_formats

OPERATORS_PATH = "/operators/"
MAX_PIN_S = 86_400
MAX_WATCH_S = 86_400
CATALOGUE_MEDIA_TYPE = "application/vnd.oakcroft.catalogue"
STATUS_BY_VERDICT = {
    CatalogueVerdict.TAKEN: 200,
    CatalogueVerdict.SAME: 200,
    CatalogueVerdict.LATER: 202,
    CatalogueVerdict.STALE: 412,
    CatalogueVerdict.REFUSED: 409,
}
METHODS_BY_PATH = {
    "catalogue": "GET, PUT, PATCH",
    "catalogue/versions": "GET",
    "catalogue/roll-back": "POST",
    "status": "GET",
    "level": "POST",
    "fleet": "GET",
    "fleet/owners": "GET, DELETE",
    "fleet/roll-out": "GET, PUT, DELETE",
}


class FleetLeases(Protocol):
    """The fleet's leases, for operators. A protocol, because a front end without peers does not import their modules."""

    def status(self) -> dict[str, object]:
        """The leases as this front end knows them."""

    def held_term(self, lease_name: str) -> object | None:
        """The running term of a lease, if this front end holds it."""

    def yield_lease(self, lease_name: str) -> None:
        """Releases a lease before its term ends."""


class RolloutControl(Protocol):
    """Catalogue roll-outs over the fleet, for operators; a protocol for the same reason."""

    def status(self) -> dict[str, object]:
        """The last roll-out as this front end knows it."""

    async def submit(
        self, text: str, base_digest: str, watch_time_ns: int, force: bool, change_reason: str
    ) -> str:
        """Starts a roll-out; returns why not, or ""."""

    async def roll_back(self, reason: str) -> str:
        """Rolls the last roll-out back; returns why not, or ""."""


class StatusSource(Protocol):
    """A part of the front end that has a status for operators; a protocol for the same reason."""

    def status(self) -> dict[str, object]:
        """The status, as a JSON object."""


class OperatorsApi:
    """Handles the operators' requests to one front end."""

    def __init__(
        self,
        coordinator: SessionCoordinator,
        catalogue_versions: CatalogueVersions,
        level_control: ServiceLevelControl,
        zone_router: ZoneRouter,
    ) -> None:
        """Parts that a front end may lack (fleet, leases, roll-out, takeover, load probing) are set after creation."""
        self.coordinator = coordinator
        self.catalogue_versions = catalogue_versions
        self.level_control = level_control
        self.zone_router = zone_router
        # The fleet as this front end sees it, if it has peers.
        self.fleet_status: Callable[[], dict[str, object]] | None = None
        self.leases: FleetLeases | None = None  # if lease acceptors are configured
        self.rollout: RolloutControl | None = None
        self.takeover: StatusSource | None = None  # if session takeover is configured
        self.load_prober: StatusSource | None = None  # if nodes' loads are shared among front ends

    def is_authorized(self, authorization: str | None) -> bool:
        """Whether an Authorization header has the operators' token."""
        scheme, _, token = (authorization or "").partition(" ")
        digest = hashlib.blake2b(token.strip().encode(), digest_size=32).digest()
        return scheme.lower() == "bearer" and hmac.compare_digest(
            digest, self.coordinator.site.operator_token_digest
        )

    def allows_large_body(self, target: str, headers: Headers) -> bool:
        """Whether a request may have a large body.

        Only authorized operators' requests may, so that nobody else can exhaust the front end's memory.
        """
        if not target.startswith(OPERATORS_PATH) or not self.coordinator.site.operator_token_digest:
            return False
        return self.is_authorized(next((value for name, value in headers if name == "authorization"), None))

    async def handle(self, request: Request) -> Response:
        """Answers one request. Raises RequestError if it is invalid or unauthorized."""
        if not self.coordinator.site.operator_token_digest:
            raise RequestError(404, "no-route", "Nothing is served at this path")
        if not self.is_authorized(request.header("authorization")):
            raise RequestError(401, "token", "The operators' bearer token is needed")
        path = request.path.removeprefix(OPERATORS_PATH)
        if path not in METHODS_BY_PATH:
            raise RequestError(404, "no-route", "Nothing is served at this path")
        if request.method not in METHODS_BY_PATH[path].split(", "):
            return Response(405, [("Allow", METHODS_BY_PATH[path])])
        return await self._route_request(path, request)

    async def _route_request(self, path: str, request: Request) -> Response:
        """Dispatches a request whose path and method are allowed."""
        match path, request.method:
            case "catalogue", "GET":
                return self._get_catalogue(request)
            case "catalogue", _:
                return await self._change_catalogue(request)
            case "catalogue/versions", _:
                return self._list_versions()
            case "level", _:
                return self._pin_level(request)
            case "status", _:
                return self._get_status()
            case "fleet", _:
                return self._get_fleet()
            case "fleet/owners", _:
                return self._handle_leases(request)
            case "fleet/roll-out", _:
                return await self._handle_rollout(request)
        return await self._roll_back(request)

    # The fleet.

    def _get_fleet(self) -> Response:
        """Shows the fleet as this front end sees it."""
        if self.fleet_status is None:
            raise RequestError(404, "no-peers", "This front has no (peers …) in its configuration")
        return json_response(self.fleet_status())

    def _handle_leases(self, request: Request) -> Response:
        """Shows the fleet's leases, or releases one that this front end holds."""
        if self.leases is None:
            raise RequestError(404, "no-keepers", "This front has no (keepers …) in its configuration")
        if request.method == "DELETE":
            lease_name = request.query_parameter("duty") or ""
            if self.leases.held_term(lease_name) is None:
                raise RequestError(409, "not-mine", "This front has no such duty: ask the one that has")
            self.leases.yield_lease(lease_name)
        return json_response(self.leases.status())

    async def _handle_rollout(self, request: Request) -> Response:
        """Starts, shows or rolls back a roll-out over the whole fleet."""
        rollout = self.rollout
        if rollout is None:
            raise RequestError(404, "no-keepers", "This front has no (keepers …) in its configuration")
        rejection = ""
        if request.method == "PUT":
            rejection = await self._start_rollout(rollout, request)
        elif request.method == "DELETE":
            rejection = await rollout.roll_back((request.query_parameter("why") or "")[:100])
        if rejection:
            raise RequestError(409, "roll-out", rejection)
        return json_response(rollout.status(), 200 if request.method == "GET" else 202)

    async def _start_rollout(self, rollout: RolloutControl, request: Request) -> str:
        """Starts a roll-out of the catalogue in a request; returns why not, or ""."""
        named_base = self._base_digest(request)
        (force, reason, _) = self._change_options(request)
        watch_s = request.query_parameter("watch") or "10"
        if not watch_s.isdigit() or int(watch_s) > MAX_WATCH_S:
            raise RequestError(400, "watch", f"watch is whole seconds up to {MAX_WATCH_S}")
        base_digest = self.coordinator.catalogue.digest if named_base is None else named_base
        try:
            return await rollout.submit(
                request.body.decode("utf-8"), base_digest, int(watch_s) * SECOND, force, reason
            )
        except UnicodeDecodeError as fault:
            raise invalid_encoding(fault) from None
        except CatalogueError as fault:
            raise invalid_catalogue(fault, "nothing is begun") from None

    # The catalogue.

    def _etag(self) -> str:
        """The entity tag of the catalogue in force."""
        return f'"{self.coordinator.catalogue.digest or "none"}"'

    def _get_catalogue(self, request: Request) -> Response:
        """Shows the catalogue in force, or a version that is kept."""
        version = request.query_parameter("version")
        text = self.catalogue_versions.active_text
        if version:
            if not version.isdigit() or int(version) not in self.catalogue_versions.texts_by_version:
                raise RequestError(404, "no-version", "This version is not kept here")
            text = self.catalogue_versions.texts_by_version[int(version)]
        elif request.header("if-none-match") == self._etag():
            return Response(304, [("ETag", self._etag())])
        headers = [("Content-Type", CATALOGUE_MEDIA_TYPE), ("Cache-Control", "no-cache")]
        return Response(200, headers + ([] if version else [("ETag", self._etag())]), text.encode())

    def _base_digest(self, request: Request) -> str | None:
        """Digest of the version that a change was made from; None for any. Raises RequestError 428 without one."""
        etag = request.header("if-match")
        if etag is None:
            raise RequestError(428, "if-match", "A change names the version that it was made from: If-Match")
        return None if etag.strip() == "*" else etag.strip().strip('"').replace("none", "")

    @staticmethod
    def _change_options(request: Request) -> tuple[bool, str, float]:
        """Whether a change is forced, its reason, and the share of front ends that take it."""
        written_share = request.query_parameter("share") or "1"
        try:
            share = float(written_share)
        except ValueError:
            share = -1.0
        if not 0 <= share <= 1:
            raise RequestError(400, "share", "share is a part of the fronts from 0 to 1")
        return request.query_parameter("force") == "yes", (request.query_parameter("why") or "")[:200], share

    async def _change_catalogue(self, request: Request) -> Response:
        """Replaces or changes the catalogue of this front end."""
        base_digest = self._base_digest(request)
        (force, reason, share) = self._change_options(request)
        try:
            text = request.body.decode("utf-8")
            submit_change = (
                self.catalogue_versions.replace if request.method == "PUT" else self.catalogue_versions.change
            )
            return self._change_response(await submit_change(text, base_digest, force, reason, share))
        except UnicodeDecodeError as fault:
            raise invalid_encoding(fault) from None
        except CatalogueError as fault:
            raise invalid_catalogue(fault, "nothing is taken") from None

    async def _roll_back(self, request: Request) -> Response:
        """Rolls the catalogue of this front end back to a version that is kept."""
        number = request.query_parameter("to") or ""
        base_digest = self._base_digest(request)
        result = await self.catalogue_versions.roll_back(
            int(number) if number.isdigit() else -1, base_digest, self._change_options(request)[0]
        )
        if result is None:
            raise RequestError(404, "no-version", "This version is not kept here")
        return self._change_response(result)

    def _change_response(self, result: ChangeResult) -> Response:
        """Response to a change, with its verdict."""
        verdict, reasons = result
        status = STATUS_BY_VERDICT[verdict]
        body_fields = {
            "verdict": verdict.name.lower(),
            "version": self.coordinator.catalogue.number,
            "reasons": reasons,
        }
        if status >= HTTPStatus.BAD_REQUEST:
            body = http_formats.problem_body(
                status, "urn:oakcroft:problem:catalogue", verdict.value, "; ".join(reasons), **body_fields
            )
            return Response(
                status, [("Content-Type", http_formats.PROBLEM_MEDIA_TYPE), ("ETag", self._etag())], body
            )
        headers = [("Content-Type", "application/json"), ("ETag", self._etag())]
        return Response(status, headers, orjson.dumps(body_fields))

    def _list_versions(self) -> Response:
        """Lists the versions that are kept."""
        active_number = self.coordinator.catalogue.number
        versions = [
            {
                "version": version.number,
                "digest": version.digest,
                "taken_ms": version.activated_at // MS,
                "why": version.reason,
                "in_force": version.number == active_number,
            }
            for version in self.catalogue_versions.history.versions
        ]
        return json_response(versions)

    # This front end.

    def _pin_level(self, request: Request) -> Response:
        """Pins a service level for a number of seconds; without a name, removes the pin."""
        name = request.query_parameter("name") or ""
        seconds = request.query_parameter("for") or "600"
        controller = self.level_control.controller
        if not name:
            controller.unpin()
        elif not seconds.isdigit() or not 0 < int(seconds) <= MAX_PIN_S:
            raise RequestError(400, "for", f"for is a whole number of seconds up to {MAX_PIN_S}")
        elif not controller.pin_to(name, self.coordinator.clock.now() + int(seconds) * SECOND):
            raise RequestError(
                404,
                "no-level",
                "There is no such level",
                ", ".join(level.name for level in controller.levels),
            )
        self.level_control.update()
        return json_response(self.level_control.status())

    def _get_status(self) -> Response:
        """Shows this front end's state and counts."""
        coordinator = self.coordinator
        durable_state = self.coordinator.durable_state
        status: dict[str, object] = {
            "front": coordinator.pseudonym,
            "playing": coordinator.playing_count,
            "unanswered": coordinator.unanswered_count,
            "catalogue": coordinator.catalogue.number,
            "configuration": coordinator.active_configuration.version.number,
            "nodes": len(coordinator.node_list.listed_nodes),
            "level": self.level_control.status(),
            "wings": self.zone_router.status(),
            "steps_waiting": len(self.catalogue_versions.step_downs.waiting),
        }
        if self.load_prober is not None:
            status["probing"] = self.load_prober.status()
        if self.takeover is not None:
            status["adopting"] = self.takeover.status()
        if durable_state is not None:
            status["state"] = self._state_status(durable_state)
        return json_response(status)

    @staticmethod
    def _state_status(durable_state: FrontEndState) -> dict[str, object]:
        """The condition of the state file, and the counts of what it has to keep."""
        health = durable_state.store.health
        counts = durable_state.store.counts
        return {
            "disk": health.state.value,
            "trouble": health.fault.value if health.fault else None,
            "phase": durable_state.recovery.phase.value,
            "promises": len(durable_state.promises),
            "held": len(durable_state.uncertain),
            "commits": counts.commits,
            "refused": counts.refused,
            "dropped": counts.dropped,
            "longest_ms": counts.longest_ns // MS,
        }


def json_response(body: object, status: int = 200) -> Response:
    """A response with a JSON body."""
    return Response(status, [("Content-Type", "application/json")], orjson.dumps(body))


def invalid_encoding(fault: UnicodeDecodeError) -> RequestError:
    """The error for a catalogue that is not UTF-8."""
    return RequestError(400, "catalogue", "The text is not UTF-8", str(fault))


def invalid_catalogue(fault: CatalogueError, consequence: str) -> RequestError:
    """The error for a catalogue with faults, which are listed; `consequence` says what has not been done."""
    faults = "\n".join(item.format() for item in fault.faults)
    return RequestError(422, "catalogue", f"{len(fault.faults)} faults; {consequence}", faults)
