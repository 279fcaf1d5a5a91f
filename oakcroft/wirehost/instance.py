"""Front end of the simulator: translates events to calls of the decision module, and its calls to actions."""

from __future__ import annotations

from typing import Any

from oakcroft.choice import Controller
from oakcroft.interface import Entry, ListKind, Node, Playback, Title
from oakcroft import terms
from oakcroft.wirehost import codec

Message = dict[str, Any]


class Instance:
    """Host of the decision module for one front end; maps the ids on the wire to objects."""

    def __init__(self, who: str, event: Message, now: int, out: list[Message]) -> None:
        """Reads the settings from a `powerOn` event.

        Raises KeyError where a setting is missing.
        """
        env = event["env"]
        self.who = who
        self.out = out
        self.terms = terms.terms(env)
        self.plans = terms.plans(env)
        self.link_per_weight: float = env["familyInfo"]["weightKb"]
        self.places = dict(zip(env["models"], env["familyInfo"]["kindSlots"], strict=False))
        self.nodes: dict[str, Node] = {}
        self.titles: dict[str, Title] = {}
        self.playbacks: dict[str, Playback] = {}
        self.ids: dict[Playback, str] = {}
        self.controller = Controller(self.terms, event["seed"], self, now)

    # Host protocol.

    def _act(self, op: str, **fields: Any) -> None:
        """Adds an action for the simulator; the keywords are its keys on the wire."""
        self.out.append({"op": op, "who": self.who, **fields})

    def send(self, pb: Playback, node: Node, abandon_at: int) -> None:
        """Sends a setup try."""
        self._act("deliver", rid=self.ids[pb], node=node.name, abandonAtMs=terms.millis(abandon_at))

    def reject(self, pb: Playback, stay_away: int) -> None:
        """Rejects a request."""
        self._act("pushBack", rid=self.ids[pb], stayAwayMs=terms.millis(stay_away))

    def abort(self, pb: Playback) -> None:
        """Ends a request whose set-up may have run."""
        self._act("abort", rid=self.ids[pb])

    def set_rung(self, pb: Playback, rung: int) -> None:
        """Changes the rung of a playback."""
        self._act("setRung", rid=self.ids[pb], grade=rung)

    def alarm(self, at: int) -> None:
        """Sets the timer of the decision module."""
        self._act("setAlarm", alarmTimeMs=terms.millis(at), label=0)

    def follow(self) -> None:
        """Subscribes to the node list."""
        self._act("follow", active=True)

    def log(self, line: str) -> None:
        """Records a log line."""
        self._act("record", message=line)

    # Events of the simulator.

    def hear(self, event: Message, now: int, lists: dict[int, list[Message]]) -> None:
        """Handles one event; events have to come in order of arrival."""
        pb = self.playbacks.get(event.get("rid", ""))
        if pb and event.get("sendNo") not in (None, len(pb.tries) - 1):
            return  # belongs to an earlier try, whose outcome was handled
        match event["op"]:
            case "accept":
                pb = self._playback(event, now)
                self.controller.arrived(pb, now)
            case "resumed":
                pb = self._playback(event, now)
                self.controller.resumed(pb, self._node(event["node"]), now)
            case "flowing":
                if pb:
                    self.controller.playing(pb, now)
            case "reply":
                if pb:
                    self.controller.tried(
                        pb, terms.OUTCOMES[event["outcome"]], event["doneFlag"],
                        *terms.report_values(event.get("report")), now,
                    )  # fmt: skip
            case "updateOf":
                note = terms.NOTES.get(event["kind"])
                if pb and note:
                    self.controller.noted(pb, note, event["x"], now)
            case "gone":
                if pb:
                    self.controller.left(pb, now)
            case "timeoutFired":
                self.controller.alarm(now)
            case "registry":
                kind = codec.LIST_KINDS[event["how"]]
                lines = lists[event["rosterId"]] if kind is not ListKind.FAILED else []
                self.controller.listed(kind, [self._entry(e) for e in lines], now)
        if pb and self.controller.over(pb):
            del self.ids[self.playbacks.pop(event["rid"])]

    def _node(self, name: str) -> Node:
        """Returns the node of a name, a new one at its first use."""
        if name not in self.nodes:
            self.nodes[name] = Node(name)
        return self.nodes[name]

    def _entry(self, e: Message) -> Entry:
        """Translates an entry of the node list."""
        node = self._node(e["node"])
        node.cell, node.zone = e["cell"], e["zone"]
        weight = e.get("share")
        return Entry(
            node,
            codec.LISTINGS[e["availability"]],
            terms.nanos(e["startedAtMs"]),
            self.link_per_weight * (1.0 if weight is None else weight),
            self.places.get(e["classOfHost"], 0.0),
        )

    def _playback(self, e: Message, now: int) -> Playback:
        """Creates the playback of a request."""
        name = e["programme"]
        if name not in self.titles:
            self.titles[name] = Title(name, e["home"], e["copies"])
        pb = Playback(
            self.titles[name], self.plans[e["profile"]], e["topRung"],
            now + terms.nanos(e["budgetMs"]), e["backFromMove"],
        )  # fmt: skip
        self.playbacks[e["rid"]], self.ids[pb] = pb, e["rid"]
        return pb
