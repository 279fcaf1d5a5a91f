"""Checks of the forms for communication between front ends: peers, lease acceptors (keepers), session takeover
(adopting) and load probing."""

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


def check_lease_acceptors(records: Records, diagnostics: Diagnostics) -> None:
    """Checks that the lease acceptors can form a majority, and that this front end keeps its grants on disk if it is one
    of them."""
    acceptors = records.find_single(forms.LEASE_ACCEPTORS)
    front = records.find_single(forms.FRONT)
    if acceptors is None or "names" not in acceptors.values:  # missing names are reported already
        return
    names = acceptors.get("names")
    acceptor_count = len(set(names))
    if acceptor_count < len(names):
        message = "a keeper is listed twice: its vote would count twice"
        diagnostics.error(acceptors.location_of("names"), message, "keep one of them")
    if acceptor_count % 2 == 0:
        message = f"{acceptor_count} keepers tolerate no more failures than {acceptor_count - 1}"
        diagnostics.warn(acceptors.location_of("names"), message, "list an odd number")
    if not check_has_peers(records, acceptors, "names", "keepers are reached as peers", diagnostics):
        return
    peers = records.find_single(forms.PEERS)
    if front is not None and peers is not None and peers.get("name") in names and not front.get("state"):
        message = f"{peers.get('name')} is a keeper and would lose its grants in a restart"
        diagnostics.error(front.location_of("zone"), message, 'add (state "FILE") to the front')


def check_load_probing(records: Records, diagnostics: Diagnostics) -> None:
    """Checks that there are peers to share node loads with."""
    probing = records.find_single(forms.LOAD_PROBING)
    if probing is not None:
        check_has_peers(records, probing, "every", "node loads are shared between peers", diagnostics)


def check_session_takeover(records: Records, diagnostics: Diagnostics) -> None:
    """Checks that nodes keep the sessions of a failed front end long enough for the others to take them over."""
    takeover = records.find_single(forms.SESSION_TAKEOVER)
    if takeover is None:
        return
    check_has_peers(records, takeover, "after", "failed fronts are detected by their peers", diagnostics)
    earliest_takeover_ns = FAILURE_DETECTION_NS + takeover.get("after")
    if takeover.get("lease") > MAX_SESSION_LEASE:
        message = f"nodes keep sessions for at most {MAX_SESSION_LEASE // SECOND} s"
        diagnostics.error(takeover.location_of("lease"), message, "write a shorter time")
    elif takeover.get("lease") < earliest_takeover_ns:
        message = "the lease may expire before the peers detect the failure and take the sessions over"
        diagnostics.warn(
            takeover.location_of("lease"), message, f"write {earliest_takeover_ns // SECOND + 1}s or more"
        )


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
