"""The operators' HTTP interface: the catalogue and its versions, service levels, the fleet and the front end's status.

Every request needs the operators' bearer token (RFC 6750). A change to the catalogue names the version that it was made
from in If-Match (RFC 9110 13.1.1).
"""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Callable
from typing import Protocol

import orjson

from oakcroft.catalogue.text import Unsound
from oakcroft.decisions.routing.catalogue import Verdict
from oakcroft.front.catalogue_versions import T_OFFER, Catalogues
from oakcroft.front.session_service import Faulty
from oakcroft.front.session_coordinator import Helm
from oakcroft.front.service_levels import Reducing
from oakcroft.front.zone_routing import ZoneRouting
from oakcroft.interface import SECOND
from oakcroft.httpwire.message import Headers, Request, Response
from oakcroft.signalling import words

PATH = "/operators/"
LONGEST_PIN = 86_400  # seconds
LONGEST_WATCH = 86_400
TYPE = "application/vnd.oakcroft.catalogue"
STATUS = {Verdict.TAKEN: 200, Verdict.SAME: 200, Verdict.LATER: 202, Verdict.STALE: 412, Verdict.REFUSED: 409}
ALLOWED = {
    "catalogue": "GET, PUT, PATCH",
    "catalogue/versions": "GET",
    "catalogue/roll-back": "POST",
    "status": "GET",
    "level": "POST",
    "fleet": "GET",
    "fleet/owners": "GET, DELETE",
    "fleet/roll-out": "GET, PUT, DELETE",
}


class Duties(Protocol):
    """The fleet's leases, for operators. A protocol, because a front end without peers does not import their modules."""

    def status(self) -> dict[str, object]:
        """The leases as this front end knows them."""
        ...

    def term(self, duty: str) -> object | None:
        """The running term of a lease, if this front end holds it."""
        ...

    def give_back(self, duty: str) -> None:
        """Releases a lease before its term ends."""
        ...


class Rolling(Protocol):
    """Catalogue roll-outs over the fleet, for operators; a protocol for the same reason."""

    def status(self) -> dict[str, object]:
        """The last roll-out as this front end knows it."""
        ...

    async def submit(self, text: str, base: str, watch: int, force: bool, why: str) -> str:
        """Starts a roll-out; returns why not, or ""."""
        ...

    async def take_back(self, why: str) -> str:
        """Rolls the last roll-out back; returns why not, or ""."""
        ...


class Told(Protocol):
    """A part of the front end that has a status for operators; a protocol for the same reason."""

    def status(self) -> dict[str, object]:
        """The status, as a JSON object."""
        ...


class Operators:
    """Handles the operators' requests to one front end."""

    def __init__(
        self, helm: Helm, catalogues: Catalogues, reducing: Reducing, zone_routing: ZoneRouting
    ) -> None:
        self.helm, self.catalogues = helm, catalogues
        self.reducing, self.zone_routing = reducing, zone_routing
        # The fleet as this front end sees it, if it has peers.
        self.fleet: Callable[[], dict[str, object]] | None = None
        self.duties: Duties | None = None  # if lease acceptors are configured
        self.rolling: Rolling | None = None
        self.adopting: Told | None = None  # if session takeover is configured
        self.probing: Told | None = None  # if nodes' loads are shared among front ends

    def known(self, authorization: str | None) -> bool:
        """Whether an Authorization header has the operators' token."""
        scheme, _, given = (authorization or "").partition(" ")
        digest = hashlib.blake2b(given.strip().encode(), digest_size=32).digest()
        return scheme.lower() == "bearer" and hmac.compare_digest(digest, self.helm.site.operators)

    def roomy(self, target: str, headers: Headers) -> bool:
        """Whether a request may have a large body.

        Only authorized operators' requests may, so that nobody else can exhaust the front end's memory.
        """
        if not target.startswith(PATH) or not self.helm.site.operators:
            return False
        return self.known(next((v for n, v in headers if n == "authorization"), None))

    async def handle(self, request: Request) -> Response:
        """Answers one request. Raises RequestError if it is invalid or unauthorized."""
        if not self.helm.site.operators:
            raise Faulty(404, "no-route", "Nothing is served at this path")
        if not self.known(request.header("authorization")):
            raise Faulty(401, "token", "The operators' bearer token is needed")
        part = request.path.removeprefix(PATH)
        if part not in ALLOWED:
            raise Faulty(404, "no-route", "Nothing is served at this path")
        if request.method not in ALLOWED[part].split(", "):
            return Response(405, [("Allow", ALLOWED[part])])
        match part, request.method:
            case "catalogue", "GET":
                return self._get(request)
            case "catalogue", _:
                return await self._change(request)
            case "catalogue/versions", _:
                return self._versions()
            case "level", _:
                return self._level(request)
            case "status", _:
                return self._status()
            case "fleet", _:
                if self.fleet is None:
                    raise Faulty(404, "no-peers", "This front has no (peers …) in its configuration")
                return Response(200, [("Content-Type", "application/json")], orjson.dumps(self.fleet()))
            case "fleet/owners", method:
                if self.duties is None:
                    raise Faulty(404, "no-keepers", "This front has no (keepers …) in its configuration")
                if method == "DELETE":
                    duty = request.query("duty") or ""
                    if self.duties.term(duty) is None:
                        raise Faulty(409, "not-mine", "This front has no such duty: ask the one that has")
                    self.duties.give_back(duty)
                return Response(
                    200, [("Content-Type", "application/json")], orjson.dumps(self.duties.status())
                )
            case "fleet/roll-out", _:
                return await self._roll_out(request)
        return await self._roll_back(request)

    async def _roll_out(self, request: Request) -> Response:
        """Starts, shows or rolls back a roll-out over the whole fleet."""
        rolling = self.rolling
        if rolling is None:
            raise Faulty(404, "no-keepers", "This front has no (keepers …) in its configuration")
        said = ""
        if request.method == "PUT":
            made_from, (force, why, _) = self._made_from(request), self._how(request)
            watch = request.query("watch") or "10"
            if not watch.isdigit() or int(watch) > LONGEST_WATCH:
                raise Faulty(400, "watch", f"watch is whole seconds up to {LONGEST_WATCH}")
            base = self.helm.catalogue.digest if made_from is None else made_from
            try:
                said = await rolling.submit(
                    request.body.decode("utf-8"), base, int(watch) * SECOND, force, why
                )
            except UnicodeDecodeError as fault:
                raise Faulty(400, "catalogue", "The text is not UTF-8", str(fault)) from None
            except Unsound as fault:
                faults = "\n".join(f.show() for f in fault.faults)
                raise Faulty(
                    422, "catalogue", f"{len(fault.faults)} faults; nothing is begun", faults
                ) from None
        elif request.method == "DELETE":
            said = await rolling.take_back((request.query("why") or "")[:100])
        if said:
            raise Faulty(409, "roll-out", said)
        status = 200 if request.method == "GET" else 202
        return Response(status, [("Content-Type", "application/json")], orjson.dumps(rolling.status()))

    def _tag(self) -> str:
        return f'"{self.helm.catalogue.digest or "none"}"'

    def _get(self, request: Request) -> Response:
        wanted = request.query("version")
        text = self.catalogues.text
        if wanted:
            if not wanted.isdigit() or int(wanted) not in self.catalogues.texts:
                raise Faulty(404, "no-version", "This version is not kept here")
            text = self.catalogues.texts[int(wanted)]
        elif request.header("if-none-match") == self._tag():
            return Response(304, [("ETag", self._tag())])
        headers = [("Content-Type", TYPE), ("Cache-Control", "no-cache")]
        return Response(200, headers + ([] if wanted else [("ETag", self._tag())]), text.encode())

    def _made_from(self, request: Request) -> str | None:
        tag = request.header("if-match")
        if tag is None:
            raise Faulty(428, "if-match", "A change names the version that it was made from: If-Match")
        return None if tag.strip() == "*" else tag.strip().strip('"').replace("none", "")

    @staticmethod
    def _how(request: Request) -> tuple[bool, str, float]:
        share = request.query("share") or "1"
        try:
            part = float(share)
        except ValueError:
            part = -1.0
        if not 0 <= part <= 1:
            raise Faulty(400, "share", "share is a part of the fronts from 0 to 1")
        return request.query("force") == "yes", (request.query("why") or "")[:200], part

    async def _change(self, request: Request) -> Response:
        made_from, (force, why, share) = self._made_from(request), self._how(request)
        try:
            text = request.body.decode("utf-8")
            make = self.catalogues.replace if request.method == "PUT" else self.catalogues.change
            return self._told(await make(text, made_from, force, why, share))
        except UnicodeDecodeError as fault:
            raise Faulty(400, "catalogue", "The text is not UTF-8", str(fault)) from None
        except Unsound as fault:
            raise Faulty(
                422,
                "catalogue",
                f"{len(fault.faults)} faults; nothing is taken",
                "\n".join(f.show() for f in fault.faults),
            ) from None

    async def _roll_back(self, request: Request) -> Response:
        number = request.query("to") or ""
        made_from = self._made_from(request)
        offer = await self.catalogues.roll_back(
            int(number) if number.isdigit() else -1, made_from, self._how(request)[0]
        )
        if offer is None:
            raise Faulty(404, "no-version", "This version is not kept here")
        return self._told(offer)

    def _told(self, offer: T_OFFER) -> Response:
        verdict, why = offer
        told = {"verdict": verdict.name.lower(), "version": self.helm.catalogue.number, "reasons": why}
        if STATUS[verdict] >= 400:
            body = words.problem(
                STATUS[verdict], "urn:oakcroft:problem:catalogue", verdict.value, "; ".join(why), **told
            )
            return Response(STATUS[verdict], [("Content-Type", words.PROBLEM), ("ETag", self._tag())], body)
        headers = [("Content-Type", "application/json"), ("ETag", self._tag())]
        return Response(STATUS[verdict], headers, orjson.dumps(told))

    def _versions(self) -> Response:
        now = self.helm.catalogue.number
        some = [
            {
                "version": k.number,
                "digest": k.digest,
                "taken_ms": k.taken // 1_000_000,
                "why": k.why,
                "in_force": k.number == now,
            }
            for k in self.catalogues.history.versions
        ]
        return Response(200, [("Content-Type", "application/json")], orjson.dumps(some))

    def _level(self, request: Request) -> Response:
        """Pins a service level for a number of seconds; without a name, removes the pin."""
        name, seconds, levels = (
            request.query("name") or "",
            request.query("for") or "600",
            self.reducing.levels,
        )
        if not name:
            levels.unpin()
        elif not seconds.isdigit() or not 0 < int(seconds) <= LONGEST_PIN:
            raise Faulty(400, "for", f"for is a whole number of seconds up to {LONGEST_PIN}")
        elif not levels.pin_to(name, self.helm.clock.now() + int(seconds) * SECOND):
            raise Faulty(404, "no-level", "There is no such level", ", ".join(x.name for x in levels.levels))
        self.reducing.look()
        return Response(200, [("Content-Type", "application/json")], orjson.dumps(self.reducing.status()))

    def _status(self) -> Response:
        helm, memory = self.helm, self.helm.memory
        told: dict[str, object] = {
            "front": helm.me, "playing": helm.playing, "unanswered": helm.unanswered, "catalogue": helm.catalogue.number,
            "configuration": helm.versions.offer.number, "nodes": len(helm.roster.lines),
            "level": self.reducing.status(), "wings": self.zone_routing.status(),
            "steps_waiting": len(self.catalogues.steps.waiting),
        }  # fmt: skip
        if self.probing is not None:
            told["probing"] = self.probing.status()
        if self.adopting is not None:
            told["adopting"] = self.adopting.status()
        if memory is not None:
            health, counts = memory.store.health, memory.store.counts
            told["state"] = {
                "disk": health.state.value, "trouble": health.trouble.value if health.trouble else None,
                "phase": memory.recovery.phase.value, "promises": len(memory.promises), "held": len(memory.held),
                "commits": counts.commits, "refused": counts.refused, "dropped": counts.dropped,
                "longest_ms": counts.longest_ns // 1_000_000,
            }  # fmt: skip
        return Response(200, [("Content-Type", "application/json")], orjson.dumps(told))
