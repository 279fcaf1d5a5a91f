"""Checks of the zones of a large fleet, and of the forms that don't work with zones."""

from __future__ import annotations

from ipaddress import ip_address

from oakcroft.config import forms
from oakcroft.config.checks.peers import check_has_peers
from oakcroft.config.diagnostics import Diagnostics
from oakcroft.config.records import Records
from oakcroft.config.schema import Record
from oakcroft.decisions.membership.zone_directory import MAX_ZONES
from oakcroft.decisions.membership.zone_summary import MAX_ZONE_NAME_LENGTH


def check_zones(records: Records, diagnostics: Diagnostics) -> None:
    """Checks that zones can be reached and fit the wire format, that this front end is in one, and that no form
    requires every front end to know all others by name."""
    zones = records.named_records(forms.ZONE)
    if not zones:
        return
    first = next(iter(zones.values()))
    if len(zones) > MAX_ZONES:
        diagnostics.error(
            first.location, f"there are {len(zones)} zones, but at most {MAX_ZONES} are allowed", "merge some"
        )
    for name, zone in zones.items():
        _check_names(name, zone, diagnostics)
        _check_seeds(zone, diagnostics)
    if not check_has_peers(records, first, "region", "zones consist of peers", diagnostics):
        return
    front = records.find_single(forms.FRONT)
    if front is not None and front.get("zone") not in zones:
        shown = front.get("zone") or "none"
        message = f"this front is not in a listed zone, but in {shown}"
        diagnostics.error(front.location_of("zone"), message, f"add (zone {shown} …), or write another zone")
    _check_no_lease_acceptors(records, diagnostics)


def _check_names(name: str, zone: Record, diagnostics: Diagnostics) -> None:
    for text in (name, zone.values.get("region", "")):
        if len(text) > MAX_ZONE_NAME_LENGTH:
            message = f"{text} is longer than {MAX_ZONE_NAME_LENGTH} characters, the limit for names that are sent to other zones"
            diagnostics.error(zone.location, message, "write a shorter name")


def _check_seeds(zone: Record, diagnostics: Diagnostics) -> None:
    for host, port in zone.values.get("seeds", ()):
        try:
            ip_address(host)
        except ValueError:
            message = f"{host} is not an IP address; names are not looked up"
            diagnostics.error(zone.location_of("seeds"), message, "write its address")
        if port == 0:
            diagnostics.error(zone.location_of("seeds"), "port 0 is not a valid seed port", "write its port")


def _check_no_lease_acceptors(records: Records, diagnostics: Diagnostics) -> None:
    """Checks that no lease acceptors are configured together with zones.

    Acceptors are reached by name, and a front end knows only the names of its own zone. Each zone would have a lease
    holder of its own, and a catalogue version would be rolled out in one zone only.
    """
    acceptors = records.find_single(forms.LEASE_ACCEPTORS)
    if acceptors is not None:
        message = "with (zone …) a front knows only the fronts of its own zone by name, and cannot reach other keepers"
        diagnostics.error(acceptors.location_of("names"), message, "remove (keepers …), or all (zone …)")
