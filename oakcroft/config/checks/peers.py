"""Checks of the forms on communication between front ends: peers, keepers, adopting and probing."""

from __future__ import annotations

from ipaddress import ip_address

from oakcroft.config import forms
from oakcroft.config.diagnostics import Problems
from oakcroft.config.records import Records
from oakcroft.config.schema import Record
from oakcroft.decisions.fleet.session_ownership import MOST_LEASE
from oakcroft.interface import SECOND

NOTICED_NS = 6 * SECOND
"""Time in which peers detect a failed front end on links that lose 5% of the packets (docs/fleet.md)."""

Address = tuple[str, int]


def check_peers(records: Records, problems: Problems) -> None:
    """Checks that peers can reach this front end, that it has a seed, and that viewers use another address."""
    peers = records.one(forms.PEERS)
    if peers is None:
        return
    listen, advertised = peers.values.get("listen"), peers.values.get("advertise")
    _check_address(peers, "listen", listen, advertised is None, problems)
    _check_address(peers, "advertise", advertised, True, problems)
    seeds = peers.get("seeds")
    if len(set(seeds)) < len(seeds):
        problems.warn(peers.at("seeds"), "a seed stands twice", "keep one of them")
    zone_seeds = [seed for zone in records.all(forms.ZONE).values() for seed in zone.values.get("seeds", ())]
    if not [seed for seed in (*seeds, *zone_seeds) if seed != (advertised or listen)]:
        what = "there is no seed but this front: it waits for others to find it"
        problems.warn(peers.at("seeds"), what, "add (seeds …)")
    front = records.one(forms.FRONT)
    if front is not None and listen is not None and listen == front.values.get("listen"):
        what = "viewers are listened for at the same address"
        problems.error(peers.at("listen"), what, "write another port")


def _check_address(
    peers: Record, field: str, address: Address | None, is_told: bool, problems: Problems
) -> None:
    """Checks an address. `is_advertised`: it is sent to the peers, so that they must be able to reach it."""
    if address is None:
        return
    text, port = address
    try:
        host = ip_address(text)
    except ValueError:
        what = f"{text} is not an IP address; names are not looked up"
        problems.error(peers.at(field), what, "write its address")
        return
    if port == 0:
        problems.error(peers.at(field), "port 0: the others could not know which it is", "write a port")
    if host.is_unspecified and is_told:
        fix = "add (advertise ADDRESS:PORT)" if field == "listen" else "write an address of this machine"
        problems.error(peers.at(field), f"the others cannot reach {host}", fix)


def check_keepers(records: Records, problems: Problems) -> None:
    """Checks that the keepers can reach a majority and that this one, if it is a keeper, keeps its grants on disk."""
    keepers, front = records.one(forms.KEEPERS), records.one(forms.FRONT)
    if keepers is None or "names" not in keepers.values:  # missing names are reported already
        return
    names = keepers.get("names")
    many = len(set(names))
    if many < len(names):
        what = "a keeper stands twice: its vote would count twice"
        problems.error(keepers.at("names"), what, "keep one of them")
    if many % 2 == 0:
        what = f"{many} keepers bear no more losses than {many - 1}"
        problems.warn(keepers.at("names"), what, "name an odd number")
    if not has_peers(records, keepers, "names", "keepers are reached among the peers", problems):
        return
    peers = records.one(forms.PEERS)
    if front is not None and peers is not None and peers.get("name") in names and not front.get("state"):
        what = f"{peers.get('name')} is a keeper and would forget what it has granted"
        problems.error(front.at("zone"), what, 'add (state "FILE") to the front')


def check_probing(records: Records, problems: Problems) -> None:
    """Checks that there are peers to share node loads with."""
    probing = records.one(forms.PROBING)
    if probing is not None:
        has_peers(records, probing, "every", "loads are told among the peers", problems)


def check_adopting(records: Records, problems: Problems) -> None:
    """Checks that nodes keep the sessions of a failed front end long enough for the others to take them over."""
    adopting = records.one(forms.ADOPTING)
    if adopting is None:
        return
    has_peers(records, adopting, "after", "who is gone is told by the peers", problems)
    noticed = NOTICED_NS + adopting.get("after")
    if adopting.get("lease") > MOST_LEASE:
        what = f"nodes keep nothing for longer than {MOST_LEASE // SECOND} s"
        problems.error(adopting.at("lease"), what, "write less")
    elif adopting.get("lease") < noticed:
        what = "it may be over before the others have noticed and asked"
        problems.warn(adopting.at("lease"), what, f"write {noticed // SECOND + 1}s or more")


def has_peers(records: Records, record: Record, field: str, reason: str, problems: Problems) -> bool:
    """Whether there is (peers …) for a form that depends on it. Records an error if it is missing.

    A shared part without (front …) passes, since (peers …) belongs to one front end's own file.
    """
    if records.one(forms.PEERS) is not None or records.one(forms.FRONT) is None:
        return True
    problems.error(record.at(field), f"{reason}, and there are none", "add (peers …)")
    return False
