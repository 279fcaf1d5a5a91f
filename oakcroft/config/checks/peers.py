"""Checks of the forms on communication between front ends: peers, keepers, adopting and probing."""

from __future__ import annotations

from ipaddress import ip_address

from oakcroft.config import forms
from oakcroft.config.diagnostics import Diagnostics
from oakcroft.config.records import Records
from oakcroft.config.schema import Record
from oakcroft.decisions.fleet.session_ownership import MAX_SESSION_LEASE
from oakcroft.interface import SECOND

FAILURE_DETECTION_NS = 6 * SECOND
"""Time in which peers detect a failed front end on links that lose 5% of the packets (docs/fleet.md)."""

Address = tuple[str, int]


def check_peers(records: Records, diagnostics: Diagnostics) -> None:
    """Checks that peers can reach this front end, that it has a seed, and that viewers use another address."""
    peers = records.find_single(forms.PEERS)
    if peers is None:
        return
    listen = peers.values.get("listen")
    advertised = peers.values.get("advertise")
    _check_address(peers, "listen", listen, advertised is None, diagnostics)
    _check_address(peers, "advertise", advertised, True, diagnostics)
    seeds = peers.get("seeds")
    if len(set(seeds)) < len(seeds):
        diagnostics.warn(peers.location_of("seeds"), "a seed is listed twice", "keep one of them")
    zone_seeds = [
        seed for zone in records.named_records(forms.ZONE).values() for seed in zone.values.get("seeds", ())
    ]
    if not [seed for seed in (*seeds, *zone_seeds) if seed != (advertised or listen)]:
        message = "there is no seed other than this front: it has to wait until a peer contacts it"
        diagnostics.warn(peers.location_of("seeds"), message, "add (seeds …)")
    front = records.find_single(forms.FRONT)
    if front is not None and listen is not None and listen == front.values.get("listen"):
        message = "the front listens for viewers at the same address"
        diagnostics.error(peers.location_of("listen"), message, "write another port")


def _check_address(
    peers: Record, field_name: str, address: Address | None, is_advertised: bool, diagnostics: Diagnostics
) -> None:
    """Checks an address. `is_advertised`: it is sent to the peers, so that they must be able to reach it."""
    if address is None:
        return
    text, port = address
    try:
        host = ip_address(text)
    except ValueError:
        message = f"{text} is not an IP address; names are not looked up"
        diagnostics.error(peers.location_of(field_name), message, "write its address")
        return
    if port == 0:
        diagnostics.error(
            peers.location_of(field_name),
            "port 0 is not allowed: peers could not know the actual port",
            "write a port",
        )
    if host.is_unspecified and is_advertised:
        fix = "add (advertise ADDRESS:PORT)" if field_name == "listen" else "write an address of this machine"
        diagnostics.error(peers.location_of(field_name), f"peers cannot reach {host}", fix)


def check_keepers(records: Records, diagnostics: Diagnostics) -> None:
    """Checks that the keepers can reach a majority and that this one, if it is a keeper, keeps its grants on disk."""
    keepers = records.find_single(forms.LEASE_ACCEPTORS)
    front = records.find_single(forms.FRONT)
    if keepers is None or "names" not in keepers.values:  # missing names are reported already
        return
    names = keepers.get("names")
    many = len(set(names))
    if many < len(names):
        message = "a keeper is listed twice: its vote would count twice"
        diagnostics.error(keepers.location_of("names"), message, "keep one of them")
    if many % 2 == 0:
        message = f"{many} keepers tolerate no more failures than {many - 1}"
        diagnostics.warn(keepers.location_of("names"), message, "list an odd number")
    if not check_has_peers(records, keepers, "names", "keepers are reached as peers", diagnostics):
        return
    peers = records.find_single(forms.PEERS)
    if front is not None and peers is not None and peers.get("name") in names and not front.get("state"):
        message = f"{peers.get('name')} is a keeper and would lose its grants in a restart"
        diagnostics.error(front.location_of("zone"), message, 'add (state "FILE") to the front')


def check_probing(records: Records, diagnostics: Diagnostics) -> None:
    """Checks that there are peers to share node loads with."""
    probing = records.find_single(forms.LOAD_PROBING)
    if probing is not None:
        check_has_peers(records, probing, "every", "node loads are shared between peers", diagnostics)


def check_adopting(records: Records, diagnostics: Diagnostics) -> None:
    """Checks that nodes keep the sessions of a failed front end long enough for the others to take them over."""
    adopting = records.find_single(forms.SESSION_TAKEOVER)
    if adopting is None:
        return
    check_has_peers(records, adopting, "after", "failed fronts are detected by their peers", diagnostics)
    noticed = FAILURE_DETECTION_NS + adopting.get("after")
    if adopting.get("lease") > MAX_SESSION_LEASE:
        message = f"nodes keep sessions for at most {MAX_SESSION_LEASE // SECOND} s"
        diagnostics.error(adopting.location_of("lease"), message, "write a shorter time")
    elif adopting.get("lease") < noticed:
        message = "the lease may expire before the peers detect the failure and take the sessions over"
        diagnostics.warn(adopting.location_of("lease"), message, f"write {noticed // SECOND + 1}s or more")


def check_has_peers(
    records: Records, record: Record, field_name: str, reason: str, diagnostics: Diagnostics
) -> bool:
    """Whether there is (peers …) for a form that depends on it. Records an error if it is missing.

    A shared part without (front …) passes, since (peers …) belongs to one front end's own file.
    """
    if records.find_single(forms.PEERS) is not None or records.find_single(forms.FRONT) is None:
        return True
    diagnostics.error(record.location_of(field_name), f"{reason}, but there is no (peers …)", "add (peers …)")
    return False
