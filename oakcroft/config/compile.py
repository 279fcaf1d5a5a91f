"""From forms to meaning (plain data in which only what matters differs), and from meaning to what a front is told."""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterable, Mapping
from dataclasses import fields, replace
from ipaddress import ip_address
from itertools import pairwise
from pathlib import Path
from typing import Any

from oakcroft.config import forms
from oakcroft.config.expand import Expander, Folder
from oakcroft.config.problems import Place, Problems, Unsound, near, or_list
from oakcroft.config.schema import Bad, Record, Schema, read_form, say, TIMES
from oakcroft.config.syntax import Atom, Form
from oakcroft.config.told import Deployment, Holding, PeersPlace, PlanTerms, Site, Stand, Token
from oakcroft.decisions.admission.doors import Bounds
from oakcroft.decisions.admission.levels import Acts, Level, Mark, Sign
from oakcroft.decisions.admission.levels import Bounds as LevelBounds
from oakcroft.decisions.admission.limits import Limit, Scope, never_binds
from oakcroft.decisions.fleet.adopting import Bounds as Adopts
from oakcroft.decisions.fleet.holding import MOST_LEASE
from oakcroft.decisions.routing.pools import Pool
from oakcroft.decisions.routing.routing import Match, Route, RouteTable, Side, clashes, rank
from oakcroft.decisions.routing.versions import families
from oakcroft.decisions.routing.wings import Bounds as WingBounds
from oakcroft.interface import SECOND, Effect, Group, Plan, Terms

Meaning = dict[str, dict[str, Any]]
NOWHERE = {"listen": ("127.0.0.1", 0), "list-service": ("127.0.0.1", 0)}
UNORDERED = {"wings", "kinds", "racks", "tags", "nodes", "but", "titles", "claim"}


class Checked:
    """The records of a whole configuration."""

    def __init__(self) -> None:
        self.single: dict[str, Record] = {}
        self.named: dict[str, dict[str, Record]] = {s.name: {} for s in forms.NAMED}

    def one(self, schema: Schema) -> Record | None:
        """The record of a form that stands once."""
        return self.single.get(schema.name)

    def all(self, schema: Schema) -> dict[str, Record]:
        """The records of a named form."""
        return self.named[schema.name]


def records(some: Iterable[Form], problems: Problems, front: bool) -> Checked:
    """Reads every form by its schema. `front`: a front's own file is checked, which holds (front …)."""
    checked = Checked()
    for form in some:
        schema = forms.ALL.get(form.name)
        also = tuple(f"used at {place}" for place in form.used)
        if schema is None:
            known = [*forms.ALL, *forms.WORDS]
            guess = near(form.name, known)
            shown = form.name or "without a name"
            what = f"there is no form {shown}" + (
                f"; did you mean {guess}?" if guess else f"; known are {or_list(known, 30)}"
            )
            problems.error(form.place, what, f"write ({guess} …)" if guess else "", also)
            continue
        record = read_form(schema, form, problems)
        if schema.head is None:
            if schema.name in checked.single:
                first = checked.single[schema.name].place
                problems.error(
                    form.place, f"({schema.name} …) stands twice; first at {first}", "join them", also
                )
            checked.single.setdefault(schema.name, record)
        elif record.head:
            mine = checked.named[schema.name]
            if record.head in mine:
                first = mine[record.head].place
                problems.error(
                    form.place,
                    f"{schema.name} {record.head} is defined twice; first at {first}",
                    "rename one of them",
                    also,
                )
            mine.setdefault(record.head, record)
    if problems.unread:
        return checked
    start = Place(min(problems.texts, default="configuration"), 1, 1)
    for wanted in [forms.FLEET, forms.LADDER, *([forms.FRONT] if front else [])]:
        if checked.one(wanted) is None:
            problems.error(start, f"there is no ({wanted.name} …): {wanted.doc}", f"add ({wanted.name} …)")
    for plural in (forms.PLAN, forms.ROUTE):
        if not checked.all(plural):
            problems.error(start, f"there is no ({plural.name} …): {plural.doc}", f"add {plural.example}")
    return checked


def cross_check(checked: Checked, problems: Problems) -> None:
    """What forms say of each other: names that must exist, terms that contradict, what can never happen."""
    _ladder(checked, problems)
    _plans(checked, problems)
    _pools(checked, problems)
    _routes(checked, problems)
    _limits(checked, problems)
    _tokens(checked, problems)
    _front(checked, problems)
    _nodes(checked, problems)
    _levels(checked, problems)
    _preference(checked, problems)
    _peers(checked, problems)
    _keepers(checked, problems)
    _adopting(checked, problems)
    _probing(checked, problems)


def _rungs(checked: Checked) -> int:
    ladder = checked.one(forms.LADDER)
    rates = ladder.values.get("rates") if ladder else None
    return len(rates) if rates else 0


def _ladder(checked: Checked, problems: Problems) -> None:
    ladder = checked.one(forms.LADDER)
    if ladder is None or "rates" not in ladder.values or "worth" not in ladder.values:
        return
    rates, worth = ladder.get("rates"), ladder.get("worth")
    if len(rates) != len(worth):
        problems.error(
            ladder.at("worth"),
            f"{len(worth)} worths stand for {len(rates)} rates",
            "name one worth for each rate",
        )
    if any(b <= a for a, b in pairwise(rates)):
        problems.error(
            ladder.at("rates"),
            "rates do not rise from rung to rung",
            "name the lowest rung first, each rate once",
        )
    if any(b < a for a, b in pairwise(worth)):
        problems.warn(ladder.at("worth"), "a higher rung is worth less than a lower one", "let worths rise")


def _plans(checked: Checked, problems: Problems) -> None:
    rungs = _rungs(checked)
    used = {r.values.get("plan") for r in checked.all(forms.ROUTE).values()}
    for name, plan in checked.all(forms.PLAN).items():
        top, floor = plan.get("top"), plan.get("floor")
        if rungs and top is not None and top >= rungs:
            problems.warn(
                plan.at("top"),
                f"plan {name} has top {top}, but the ladder ends at rung {rungs - 1}",
                f"write (top {rungs - 1})",
            )
        if rungs and floor >= rungs:
            problems.error(
                plan.at("floor"),
                f"plan {name} has floor {floor}, but the ladder ends at rung {rungs - 1}",
                f"write (floor {rungs - 1}) or less",
            )
        elif top is not None and floor > top:
            problems.error(
                plan.at("floor"),
                f"plan {name} has its floor {floor} over its top {top}",
                f"write (floor {top}) or less",
            )
        target, abandon = plan.values.get("startup-target"), plan.values.get("abandon")
        if target and abandon and abandon < target:
            problems.error(plan.at("abandon"), f"plan {name} is given up ({say(TIMES, abandon)}) before its startup target ({say(TIMES, target)})",
                           f"write (abandon {say(TIMES, target)}) or more")  # fmt: skip
        if plan.values.get("effect") not in (None, "keyed"):
            for only in ("key-lasts", "group"):
                if only in plan.places:
                    problems.warn(
                        plan.at(only),
                        f"{only} means nothing for plan {name}, whose effect is {plan.get('effect')}",
                        f"take ({only} …) out",
                    )
        if used - {None} and name not in used:
            problems.warn(plan.place, f"no route leads to plan {name}", f"add a route with (plan {name})")


def _known(
    record: Record, field: str, known: Iterable[str], what: str, problems: Problems, given: str | None = None
) -> bool:
    name, names = (record.values.get(field) if given is None else given), list(known)
    if not name or name in names:
        return True
    guess = near(name, names)
    there = f"; did you mean {guess}?" if guess else f"; there is {or_list(names)}" if names else ""
    problems.error(
        record.at(field),
        f"there is no {what} {name}{there}",
        f"write {guess}" if guess else f"add ({what} {name} …)",
        record.also,
    )
    return False


def _fleet(checked: Checked, name: str) -> Any:
    fleet = checked.one(forms.FLEET)
    return fleet.get(name) if fleet is not None else forms.FLEET.field(name).default  # type: ignore[union-attr]


def _pools(checked: Checked, problems: Problems) -> None:
    wings, kinds, racks = _fleet(checked, "wings"), _fleet(checked, "kinds"), _fleet(checked, "racks")
    used = {r.values.get("pool") for r in checked.all(forms.ROUTE).values()}
    for name, pool in checked.all(forms.POOL).items():
        for field, known, what in (("wings", wings, "wing"), ("kinds", kinds, "kind")):
            unknown = [w for w in pool.get(field) if w not in known]
            for word in unknown if known else ():
                guess = near(word, known)
                problems.error(
                    pool.at(field),
                    f"pool {name} names {what} {word}, which (fleet …) does not",
                    f"write {guess}" if guess else f"add {word} to ({field} …) of the fleet",
                )
        for rack in pool.get("racks"):
            if rack >= racks:
                problems.error(
                    pool.at("racks"),
                    f"pool {name} names rack {rack}, but racks end at {racks - 1}",
                    "racks count from 0",
                )
        if why := _pool(name, pool).empty_by_itself():
            problems.error(pool.place, f"pool {name} matches nothing: {why}", "correct nodes or but")
        if not any(pool.get(f.name) for f in forms.POOL.fields):
            problems.warn(
                pool.place,
                f"pool {name} says nothing, so it holds every node",
                "take it out, and (pool …) from its routes",
            )
        if name not in used:
            problems.warn(pool.place, f"no route uses pool {name}", "")


def _routes(checked: Checked, problems: Problems) -> None:
    plans, pools = checked.all(forms.PLAN), checked.all(forms.POOL)
    wings, rungs = _fleet(checked, "wings"), _rungs(checked)
    tokens = [dict(map(tuple, t.get("claim"))) for t in checked.all(forms.TOKEN).values()]
    some = []
    for name, route in checked.all(forms.ROUTE).items():
        sound = _known(route, "plan", plans, "plan", problems)
        _known(route, "pool", pools, "pool", problems)
        if wings and route.get("wing"):
            _known(route, "wing", wings, "wing", problems)
        claims = dict(map(tuple, route.get("claim")))
        if claims and not any(all(t.get(k) == v for k, v in claims.items()) for t in tokens):
            shown = " and ".join(f"{k} {v}" for k, v in sorted(claims.items()))
            problems.warn(
                route.at("claim"),
                f"route {name} is never reached: no token has the claim {shown}",
                f"add (claim {shown}) to a token",
            )
        top = route.get("top")
        if sound and top is not None and route.values.get("plan") in plans:
            plan = plans[route.values["plan"]]
            if top < plan.get("floor"):
                problems.error(
                    route.at("top"),
                    f"route {name} has top {top} under the floor {plan.get('floor')} of plan {plan.head}",
                    f"write (top {plan.get('floor')}) or more",
                )
            elif rungs and top >= rungs:
                problems.warn(
                    route.at("top"),
                    f"route {name} has top {top}, but the ladder ends at rung {rungs - 1}",
                    "take it out",
                )
        if "*" in route.get("titles") and len(route.get("titles")) > 1:
            problems.warn(
                route.at("titles"),
                f"route {name} takes all titles by *; the others beside it say nothing",
                "take the others out",
            )
        if "path" in route.values and sound:
            some.append(_route(name, route))
    for one, other, title in clashes(some):
        at = checked.all(forms.ROUTE)[other.name]
        first = checked.all(forms.ROUTE)[one.name].place
        problems.error(at.place, f"routes {one.name} and {other.name} both take {title} under {one.match.prefix}, and neither is more particular",
                       "give one of them titles, a wing or a claim that the other has not", [f"{one.name} stands at {first}"])  # fmt: skip
    shadowed(some, checked, problems)


def shadowed(some: list[Route], checked: Checked, problems: Problems) -> None:
    """Routes that others always go before: for every wing and every token there is, another of the same titles is
    more particular and takes the request."""
    wings = list(_fleet(checked, "wings")) or [""]
    claims = [dict(map(tuple, t.get("claim"))) for t in checked.all(forms.TOKEN).values()] or [{}]
    groups: dict[tuple[Side, str, str | None], list[Route]] = {}
    for route in some:
        for pattern in route.match.titles or (None,):
            groups.setdefault((route.match.side, route.match.prefix, pattern), []).append(route)
    for (_, _, pattern), rivals in groups.items():
        for route in rivals if len(rivals) > 1 else ():
            asked = [(w, c) for w in wings for c in claims if _passes(route, w, c)]
            ahead = [r for r in rivals if rank(pattern, r.match) > rank(pattern, route.match)]
            if asked and all(any(_passes(r, w, c) for r in ahead) for w, c in asked):
                names = or_list(r.name for r in ahead)
                place = checked.all(forms.ROUTE)[route.name].place
                problems.warn(place, f"route {route.name} is never reached for {pattern or 'any title'}: {names} always go before it",
                              "take it out, or give it a condition of its own")  # fmt: skip
    for route in some:
        covered = [
            p
            for p in route.match.titles
            if p.endswith("*")
            and any(q != p and q.endswith("*") and p.startswith(q[:-1]) for q in route.match.titles)
        ]
        for pattern in covered:
            record = checked.all(forms.ROUTE)[route.name]
            problems.warn(
                record.at("titles"),
                f"route {route.name} names {pattern}, which another of its titles takes in",
                f"take {pattern} out",
            )


def _passes(route: Route, wing: str, claims: Mapping[str, str]) -> bool:
    return (not route.match.wing or route.match.wing == wing) and all(
        claims.get(k) == v for k, v in route.match.claims
    )


def _limits(checked: Checked, problems: Problems) -> None:
    plans, routes, tokens = checked.all(forms.PLAN), checked.all(forms.ROUTE), checked.all(forms.TOKEN)
    wings, fronts, made = _fleet(checked, "wings"), _fleet(checked, "fronts"), dict[str, Limit]()
    for name, record in checked.all(forms.LIMIT).items():
        on = record.values.get("on")
        if on is None:
            continue
        kinds = [s.value for s in Scope]
        if on[0] not in kinds:
            guess = near(on[0], kinds)
            problems.error(
                record.at("on"),
                f"a limit stands on {or_list(kinds)}, not on {on[0]}",
                f"write (on {guess or 'all'})",
            )
            continue
        if (len(on) == 1) != (on[0] == "all"):
            problems.error(
                record.at("on"),
                "a limit on all has no name, one on anything else has one",
                "write (on all)" if on[0] == "all" else f"write (on {on[0]} *)",
            )
            continue
        if on[0] != "all" and on[1] != "*":
            known = {"plan": plans, "route": routes, "token": tokens, "wing": wings}[on[0]]
            if on[0] != "wing" or known:
                _known(record, "on", known, on[0], problems, on[1])
        if "rate" not in record.places and "at-once" not in record.places:
            problems.error(
                record.place,
                f"limit {name} says neither rate nor at-once",
                "add (rate 40/s) or (at-once 200)",
            )
            continue
        if "burst" in record.values and record.get("rate") is None:
            problems.error(
                record.at("burst"),
                f"limit {name} has a burst without a rate",
                "add (rate …) or take the burst out",
            )
        if record.get("at-once") == 0 or record.get("rate") == 0:
            problems.warn(
                record.place,
                f"limit {name} admits nothing at all",
                "take the route out instead, if that is meant",
            )
        at_once = record.get("at-once")
        if record.get("of") == "whole" and at_once and at_once < fronts:
            problems.warn(record.at("at-once"), f"limit {name} has {at_once} places for {fronts} fronts: {fronts - at_once} of them admit none",
                          f"write (at-once {fronts}) or more, or (of front)")  # fmt: skip
        made[name] = _limit(name, record)
    for name, limit in made.items():
        if other := never_binds(limit, made):
            record = checked.all(forms.LIMIT)[name]
            problems.warn(
                record.place,
                f"limit {name} can never bind: {other}, on all, is always reached first",
                "lower it, or take it out",
            )


def _tokens(checked: Checked, problems: Problems) -> None:
    seen: dict[str, str] = {}
    for name, token in checked.all(forms.TOKEN).items():
        secret = token.values.get("secret")
        if secret is None:
            continue
        if secret in seen:
            problems.error(
                token.at("secret"),
                f"tokens {seen[secret]} and {name} have the same secret",
                "make another one",
            )
        seen.setdefault(secret, name)
    if not seen and any(r.get("claim") for r in checked.all(forms.ROUTE).values()):
        first = next(r for r in checked.all(forms.ROUTE).values() if r.get("claim"))
        problems.error(
            first.at("claim"),
            "a route asks for a claim, but there is no (token …)",
            'add (token NAME (secret "…") (claim …))',
        )


def _preference(checked: Checked, problems: Problems) -> None:
    record = checked.one(forms.PREFERENCE)
    if record is None:
        return
    wings = _fleet(checked, "wings")
    for wing in record.get("then"):
        _known(record, "then", dict.fromkeys(wings, record), "wing", problems, wing)
    if len(set(record.get("then"))) != len(record.get("then")):
        problems.error(record.at("then"), "a wing stands twice in the order", "take one out")
    if len(wings) < 2:
        problems.error(record.place, "a preference needs two wings or more", "name them in (fleet (wings …))")


def _levels(checked: Checked, problems: Problems) -> None:
    ranks: dict[int, str] = {}
    for name, record in checked.all(forms.LEVEL).items():
        rank = record.get("rank")
        if rank in ranks:
            problems.error(
                record.at("rank"), f"levels {ranks[rank]} and {name} have the same rank", "number them from 1"
            )
        ranks.setdefault(rank, name)
        if not any(sign in record.places for sign in forms.SIGNS):
            problems.error(
                record.place, f"level {name} names no sign and is never entered", "add (x 1.05 0.9)"
            )
        for sign in forms.SIGNS:
            pair = record.get(sign)
            if len(pair) == 2 and pair[0] <= pair[1]:
                problems.error(record.at(sign), f"level {name} is left at {sign} {pair[1]:g} and entered at {pair[0]:g}",
                               "write the entry first, and the exit under it")  # fmt: skip
        for plan, share in record.get("admits"):
            _known(record, "admits", checked.all(forms.PLAN), "plan", problems, plan)
            try:
                forms.SHARE.read(Atom(share, record.at("admits"), False, share))
            except Bad as bad:
                problems.error(record.at("admits"), bad.what, bad.fix)


def _front(checked: Checked, problems: Problems) -> None:
    front = checked.one(forms.FRONT)
    if front is None:
        return
    fronts, wings = _fleet(checked, "fronts"), _fleet(checked, "wings")
    if front.get("number") >= fronts:
        problems.error(
            front.at("number"),
            f"front {front.get('number')} of {fronts}: fronts count from 0",
            f"write (number {max(0, fronts - 1)}) or less",
        )
    if wings and front.get("zone") and front.get("zone") not in wings:
        guess = near(front.get("zone"), wings)
        problems.error(
            front.at("zone"),
            f"there is no wing {front.get('zone')}",
            f"write {guess}" if guess else f"write {or_list(wings)}",
        )


def _peers(checked: Checked, problems: Problems) -> None:
    peers = checked.one(forms.PEERS)
    if peers is None:
        return
    listen, told = peers.values.get("listen"), peers.values.get("advertise")
    for name, address in (("listen", listen), ("advertise", told)):
        if address is None:
            continue
        try:
            host = ip_address(address[0])
        except ValueError:
            problems.error(
                peers.at(name),
                f"{address[0]} is not an IP address; names are not looked up",
                "write its address",
            )
            continue
        if address[1] == 0:
            problems.error(peers.at(name), "port 0: the others could not know which it is", "write a port")
        if name == "listen" and host.is_unspecified and told is None:
            problems.error(peers.at(name), f"the others cannot reach {host}", "add (advertise ADDRESS:PORT)")
        if name == "advertise" and host.is_unspecified:
            problems.error(
                peers.at(name), f"the others cannot reach {host}", "write an address of this machine"
            )
    seeds = peers.get("seeds")
    if len(set(seeds)) < len(seeds):
        problems.warn(peers.at("seeds"), "a seed stands twice", "keep one of them")
    if not [s for s in seeds if s != (told or listen)]:
        problems.warn(
            peers.at("seeds"),
            "there is no seed but this front: it waits for others to find it",
            "add (seeds …)",
        )
    front = checked.one(forms.FRONT)
    if front is not None and listen is not None and listen == front.values.get("listen"):
        problems.error(
            peers.at("listen"), "viewers are listened for at the same address", "write another port"
        )


def _keepers(checked: Checked, problems: Problems) -> None:
    """Guards against keepers that could never grant anything, or that would forget what they have granted."""
    keepers, peers, front = checked.one(forms.KEEPERS), checked.one(forms.PEERS), checked.one(forms.FRONT)
    if keepers is None:
        return
    names = keepers.get("names")
    if len(set(names)) < len(names):
        problems.error(
            keepers.at("names"), "a keeper stands twice: its vote would count twice", "keep one of them"
        )
    if len(set(names)) % 2 == 0:
        problems.warn(
            keepers.at("names"), f"{len(set(names))} keepers bear no more losses than {len(set(names)) - 1}",
            "name an odd number",
        )  # fmt: skip
    if front is None:
        return
    if peers is None:
        problems.error(
            keepers.at("names"), "keepers are reached among the peers, and there are none", "add (peers …)"
        )
    elif peers.get("name") in names and not front.get("state"):
        problems.error(
            front.at("zone"), f"{peers.get('name')} is a keeper and would forget what it has granted",
            'add (state "FILE") to the front',
        )  # fmt: skip


def _probing(checked: Checked, problems: Problems) -> None:
    probing = checked.one(forms.PROBING)
    if probing is not None and checked.one(forms.PEERS) is None and checked.one(forms.FRONT) is not None:
        problems.error(
            probing.at("every"), "loads are told among the peers, and there are none", "add (peers …)"
        )


NOTICED = (
    6 * SECOND
)  # in which the others see a front as gone, with a link that loses a twentieth (docs/fleet.md)


def _adopting(checked: Checked, problems: Problems) -> None:
    """Guards against playbacks that nodes have ended before anybody could take them over."""
    adopting = checked.one(forms.ADOPTING)
    if adopting is None:
        return
    if checked.one(forms.PEERS) is None and checked.one(forms.FRONT) is not None:
        problems.error(
            adopting.at("after"), "who is gone is told by the peers, and there are none", "add (peers …)"
        )
    if adopting.get("lease") > MOST_LEASE:
        problems.error(
            adopting.at("lease"), f"nodes keep nothing for longer than {MOST_LEASE // SECOND} s", "write less"
        )
    elif adopting.get("lease") < NOTICED + adopting.get("after"):
        problems.warn(
            adopting.at("lease"), "it may be over before the others have noticed and asked",
            f"write {(NOTICED + adopting.get('after')) // SECOND + 1}s or more",
        )  # fmt: skip


def _nodes(checked: Checked, problems: Problems) -> None:
    nodes = checked.one(forms.NODES)
    if nodes is not None and nodes.get("lost-after") < nodes.get("silent-after"):
        problems.error(
            nodes.at("lost-after"),
            "playbacks would count as lost before their node counts as silent",
            f"write (lost-after {say(TIMES, nodes.get('silent-after'))}) or more",
        )
    signalling = checked.one(forms.SIGNALLING)
    for plan in checked.all(forms.PLAN).values() if signalling is not None else ():
        abandon, back = plan.values.get("abandon"), signalling.get("way-back") if signalling else 0
        if abandon and back * 2 > abandon and signalling is not None:
            what = f"the way back takes over half of plan {plan.head}'s abandon time {say(TIMES, abandon)}"
            problems.error(signalling.at("way-back"), what, "write a shorter one")


# Meaning.


def meaning(checked: Checked) -> Meaning:
    """What a sound configuration means: the same for texts that differ only in order, layout, comments, units,
    includes and definitions."""
    out: Meaning = {}
    for schema in forms.SINGLE:
        record = checked.one(schema)
        if record is not None:
            out[schema.name] = _plain(record)
        elif schema not in (
            forms.FRONT,
            forms.FLEET,
            forms.LADDER,
            forms.PREFERENCE,
            forms.PEERS,
            forms.KEEPERS,
            forms.ADOPTING,
            forms.PROBING,
        ):
            out[schema.name] = {f.name: f.default for f in schema.fields}
    for schema in forms.NAMED:
        out[schema.name] = {name: _plain(r) for name, r in sorted(checked.all(schema).items())}
    return out


def _plain(record: Record) -> dict[str, Any]:
    out: dict[str, Any] = {}
    for f in record.schema.fields:
        value = record.get(f.name)
        if isinstance(value, Record):
            value = _plain(value)
        elif f.name == "secret" and value:
            value = hashlib.blake2b(value.encode(), digest_size=32).hexdigest()
        elif isinstance(value, list | tuple) and f.kind is not forms.ADDRESS:
            items = [tuple(v) if isinstance(v, list) else v for v in value]
            value = tuple(sorted(set(items)) if f.name in UNORDERED else items)
        out[f.name] = value
    if "titles" in out and "*" in out["titles"]:
        out["titles"] = ()
    return out


# From meaning to what a front is told.


def _route(name: str, record: Record) -> Route:
    return route_of(name, _plain(record))


def route_of(name: str, m: Mapping[str, Any]) -> Route:
    """A route from its meaning."""
    match = Match(Side(m["for"]), m["path"], tuple(m["titles"]), m["wing"], tuple(m["claim"]))
    return Route(name, match, m["plan"], m["pool"], m["top"])


def _pool(name: str, record: Record) -> Pool:
    return pool_of(name, _plain(record))


def pool_of(name: str, m: Mapping[str, Any]) -> Pool:
    """A pool from its meaning."""
    return Pool(name, m["wings"], m["racks"], m["kinds"], m["tags"], m["nodes"], m["but"])


def _limit(name: str, record: Record) -> Limit:
    return limit_of(name, _plain(record))


def limit_of(name: str, m: Mapping[str, Any]) -> Limit:
    """A limit from its meaning."""
    on = m["on"]
    return Limit(
        name,
        Scope(on[0]),
        on[1] if len(on) > 1 else "",
        m["rate"],
        m["burst"],
        m["at-once"],
        m["of"] == "whole",
    )


def level_of(name: str, m: Mapping[str, Any]) -> Level:
    """A level from its meaning."""
    marks = tuple(Mark(Sign(s), float(m[s][0]), float(m[s][1])) for s in forms.SIGNS if m[s])
    admits = {
        plan: float(share.rstrip("%")) / (100 if share.endswith("%") else 1) for plan, share in m["admits"]
    }
    return Level(name, marks, Acts(m["top"], admits, m["moves"] == "yes", m["upkeep"] == "yes"))


def plan_of(name: str, m: Mapping[str, Any], rungs: int, family: int) -> PlanTerms:
    """A plan from its meaning."""
    top = rungs - 1 if m["top"] is None else min(m["top"], rungs - 1)
    plan = Plan(
        effect=Effect(m["effect"]), group=Group(m["group"]), key_lasts=m["key-lasts"], startup_target=m["startup-target"],
        revenue=m["revenue"], floor=m["floor"], top=top, seats=m["seats"], rate_factor=m["rate-factor"],
        shares_stream=m["shares-stream"] == "yes", family=family,
    )  # fmt: skip
    return PlanTerms(name, plan, m["abandon"])


def told(m: Meaning, known_families: Mapping[str, int] | None = None) -> Deployment:
    """What a front is told, from a sound configuration's meaning."""
    fleet, ladder, signalling, nodes = m["fleet"], m["ladder"], m["signalling"], m["nodes"]
    front: dict[str, Any] = m.get("front") or {f.name: f.default for f in forms.FRONT.fields} | NOWHERE
    budget = fleet["tries-budget"]
    terms = Terms(
        fronts=fleet["fronts"], front=front["number"], must_follow=False, ask_within=0, cells=fleet["cells"],
        racks=fleet["racks"], rates=ladder["rates"], rung_worth=ladder["worth"], uplink=fleet["uplink"],
        join_adds=fleet["join-adds"], seen_after=fleet["seen-after"], reports_every=fleet["reports-every"],
        most_tries=fleet["most-tries"], stay_away_most=fleet["stay-away-most"], cold_share=fleet["cold-share"],
        cold_for=fleet["cold-for"], fall_multiple=fleet["fall-multiple"], fall_window=fleet["fall-window"],
        tries_free=budget["free"] if budget else None, tries_share=budget["share"] if budget else 0.0,
        tries_window=budget["window"] if budget else 10_000_000_000,
    )  # fmt: skip
    numbers = families(known_families or {}, list(m["plan"]))
    plans = {name: plan_of(name, p, len(ladder["rates"]), numbers[name]) for name, p in m["plan"].items()}
    tokens = {bytes.fromhex(t["secret"]): Token(name, dict(t["claim"])) for name, t in m["token"].items()}
    door = {f.name: m["door"][f.name.replace("_", "-")] for f in fields(Bounds)}
    site = Site(
        terms, plans, RouteTable(route_of(n, r) for n, r in m["route"].items()),
        {n: pool_of(n, p) for n, p in m["pool"].items()}, tuple(limit_of(n, x) for n, x in m["limit"].items()), tokens,
        {n: Holding(t["home"], t["copies"]) for n, t in m["title"].items()}, fleet["copies"],
        tuple(signalling["ice-servers"]), replace(Bounds(), **door), signalling["way-back"], fleet["drain-grace"], fleet["usual-notice"],
        m["stopping"]["drain-within"], m["stopping"]["leave-within"], nodes["silent-after"], nodes["lost-after"],
        nodes["connect-within"], nodes["list-within"], signalling["keep-keys"], bytes.fromhex(m["operators"]["secret"]),
        tuple(level_of(n, x) for n, x in sorted(m["level"].items(), key=lambda level: level[1]["rank"])),
        LevelBounds(**{f.name: m["levels"][f.name.replace("_", "-")] for f in fields(LevelBounds)}),
        WingBounds(**{f.name: m["preference"][f.name] for f in fields(WingBounds)}) if "preference" in m else None,
        tuple(m["preference"]["then"] or fleet["wings"]) if "preference" in m else (),
    )  # fmt: skip
    (host, port), (list_host, list_port) = front["listen"], front["list-service"]
    stand = Stand(host, port, list_host, list_port, front["kept"], front["state"],
                  front["state-sync"] == "yes", front["zone"], front["seed"], front["log"],
                  _place(m["peers"], m) if "peers" in m else None)  # fmt: skip
    return Deployment(site, stand, m)


def _place(m: Mapping[str, Any], whole: Mapping[str, Any]) -> PeersPlace:
    """Where a front stands among its peers. `whole`: the meaning of all its forms."""
    keepers, adopting, probing = whole.get("keepers"), whole.get("adopting"), whole.get("probing")
    told = m["advertise"] or m["listen"]
    seeds = tuple(dict.fromkeys(m["seeds"]))
    names, term = (tuple(keepers["names"]), keepers["term"]) if keepers is not None else ((), 0)
    return PeersPlace(
        m["name"], m["listen"], told, seeds, m["key-file"], m["fleet"], m["starts"], names, term,
        probing["every"] if probing is not None else 0,
        Adopts(adopting["after"], adopting["lease"], adopting["most"]) if adopting is not None else None,
    )  # fmt: skip


# Whole files.


def check(name: str, open_: Callable[[str], str], front: bool = True) -> tuple[Meaning | None, Problems]:
    """Checks a file and all it includes; its meaning where it has no error. `open_` gives the text of a file by its path from
    the first one's folder (OSError where it cannot)."""
    problems = Problems()
    some = Expander(open_, problems).file(name)
    return check_forms(some, problems, front)


def check_forms(some: Iterable[Form], problems: Problems, front: bool) -> tuple[Meaning | None, Problems]:
    """Checks plain forms."""
    checked = records(some, problems, front)
    if not problems.unread:
        cross_check(checked, problems)
    return (None if problems.errors else meaning(checked)), problems


def load_meaning(path: Path, front: bool = True) -> Meaning:
    """The meaning of a file. Unsound where it has errors, OSError where it cannot be read."""
    found, problems = check(path.name, Folder(path.parent).open, front)
    if found is None:
        raise Unsound(problems)
    return found


def load(path: Path) -> Deployment:
    """What a front is told by its file. Unsound where that has errors."""
    return told(load_meaning(path))
