"""Checks of the forms by which fronts speak to each other: peers, keepers, adopting and probing."""

from __future__ import annotations

from ipaddress import ip_address

from oakcroft.config import forms
from oakcroft.config.problems import Problems
from oakcroft.config.records import Records
from oakcroft.config.schema import Record
from oakcroft.decisions.fleet.holding import MOST_LEASE
from oakcroft.interface import SECOND

NOTICED_NS = 6 * SECOND
"""In which the others see a front as gone, with a link that loses a twentieth (docs/fleet.md)."""

Address = tuple[str, int]


def check_peers(records: Records, problems: Problems) -> None:
    """The others can reach this front, it knows one of them, and viewers are listened for elsewhere."""
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
    """`is_told`: the others are told this address, so that it has to be one that they can reach."""
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
    """Guards against keepers that could never grant anything, or that would forget what they have granted."""
    keepers, front = records.one(forms.KEEPERS), records.one(forms.FRONT)
    if keepers is None or "names" not in keepers.values:  # that they are missing is noted already
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
    """Loads are told to somebody."""
    probing = records.one(forms.PROBING)
    if probing is not None:
        has_peers(records, probing, "every", "loads are told among the peers", problems)


def check_adopting(records: Records, problems: Problems) -> None:
    """Guards against playbacks that nodes have ended before anybody could take them over."""
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
    """Whether a form that works by way of the peers has any; an error is noted where it has none. Forms that all fronts
    share are checked without a front's own place, too, where no peers can stand."""
    if records.one(forms.PEERS) is not None or records.one(forms.FRONT) is None:
        return True
    problems.error(record.at(field), f"{reason}, and there are none", "add (peers …)")
    return False
