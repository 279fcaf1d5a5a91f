"""Front end of the simulator: translates events to calls of the decision module, and its calls of the host to actions."""

from __future__ import annotations

from typing import Any

from oakcroft import terms
from oakcroft.choice import Controller
from oakcroft.interface import Node, NodeEntry, NodeListKind, Placement, Playback, Title
from oakcroft.wirehost import codes

Message = dict[str, Any]


class SimulatorFrontEnd:
    """Host of the decision module for one front end; maps the ids on the wire to objects."""

    def __init__(self, front_id: str, event: Message, now: int, actions: list[Message]) -> None:
        """Reads the settings from a `powerOn` event.

        Raises KeyError where a setting is missing.
        """
        settings = event["env"]
        self.front_id = front_id
        self.actions = actions
        self.settings = terms.read_settings(settings)
        self.plans = terms.read_plans(settings)
        self.link_capacity_per_weight: float = settings["familyInfo"]["weightKb"]
        self.playback_capacity_by_model = dict(
            zip(settings["models"], settings["familyInfo"]["kindSlots"], strict=False)
        )
        self.nodes: dict[str, Node] = {}
        self.titles: dict[str, Title] = {}
        self.playbacks: dict[str, Playback] = {}
        self.request_ids: dict[Playback, str] = {}
        self.controller = Controller(self.settings, event["seed"], self, now)

    # Host protocol.

    def _add_action(self, op: str, **fields: Any) -> None:
        """Adds an action for the simulator; the keywords are its keys on the wire."""
        self.actions.append({"op": op, "who": self.front_id, **fields})

    def send_setup(self, playback: Playback, node: Node, abandon_at: int) -> None:
        """Sends a setup try."""
        self._add_action(
            "deliver", rid=self.request_ids[playback], node=node.name, abandonAtMs=terms.ns_to_ms(abandon_at)
        )

    def reject(self, playback: Playback, retry_after_ns: int) -> None:
        """Rejects a request."""
        self._add_action(
            "pushBack", rid=self.request_ids[playback], stayAwayMs=terms.ns_to_ms(retry_after_ns)
        )

    def abort(self, playback: Playback) -> None:
        """Ends a request whose set-up may have run."""
        self._add_action("abort", rid=self.request_ids[playback])

    def set_rung(self, playback: Playback, rung: int) -> None:
        """Changes the rung of a playback."""
        self._add_action("setRung", rid=self.request_ids[playback], grade=rung)

    def set_timer(self, at: int) -> None:
        """Sets the timer of the decision module."""
        self._add_action("setAlarm", alarmTimeMs=terms.ns_to_ms(at), label=0)

    def subscribe_to_nodes(self) -> None:
        """Subscribes to the node list."""
        self._add_action("follow", active=True)

    def log(self, message: str) -> None:
        """Records a log line."""
        self._add_action("record", message=message)

    # Events of the simulator.

    def handle_event(self, event: Message, now: int, lists: dict[int, list[Message]]) -> None:
        """Handles one event; events have to come in order of arrival."""
        playback = self.playbacks.get(event.get("rid", ""))
        if playback and event.get("sendNo") not in (None, len(playback.tries) - 1):
            return  # belongs to an earlier try, whose outcome was already handled
        match event["op"]:
            case "accept":
                playback = self._new_playback(event, now)
                self.controller.on_request(playback, now)
            case "resumed":
                playback = self._new_playback(event, now)
                self.controller.on_handed_over(playback, self._node(event["node"]), now)
            case "timeoutFired":
                self.controller.on_timer(now)
            case "registry":
                kind = codes.NODE_LIST_KINDS_BY_WIRE_CODE[event["how"]]
                entries = lists[event["rosterId"]] if kind is not NodeListKind.FAILED else []
                self.controller.on_node_list(kind, [self._entry(entry) for entry in entries], now)
            case _:
                if playback:
                    self._handle_playback_event(playback, event, now)
        if playback and self.controller.is_over(playback):
            del self.request_ids[self.playbacks.pop(event["rid"])]

    def _handle_playback_event(self, playback: Playback, event: Message, now: int) -> None:
        """Handles an event of a known playback; unknown events are ignored."""
        match event["op"]:
            case "flowing":
                self.controller.on_playing(playback, now)
            case "reply":
                self.controller.on_try_ended(
                    playback, terms.OUTCOMES_BY_WIRE_CODE[event["outcome"]], event["doneFlag"],
                    *terms.load_report_values(event.get("report")), now,
                )  # fmt: skip
            case "updateOf":
                metric = terms.METRICS_BY_WIRE_KIND.get(event["kind"])
                if metric:
                    self.controller.on_metric(playback, metric, event["x"], now)
            case "gone":
                self.controller.on_viewer_left(playback, now)

    def _node(self, name: str) -> Node:
        """Returns the node with a name, which is created at its first use."""
        if name not in self.nodes:
            self.nodes[name] = Node(name)
        return self.nodes[name]

    def _entry(self, fields: Message) -> NodeEntry:
        """Translates an entry of the node list."""
        node = self._node(fields["node"])
        node.cell = fields["cell"]
        node.zone = fields["zone"]
        weight = fields.get("share")
        return NodeEntry(
            node,
            codes.NODE_STATUSES_BY_WIRE_CODE[fields["availability"]],
            terms.ms_to_ns(fields["startedAtMs"]),
            self.link_capacity_per_weight * (1.0 if weight is None else weight),
            self.playback_capacity_by_model.get(fields["classOfHost"], 0.0),
        )

    def _new_playback(self, event: Message, now: int) -> Playback:
        """Creates the playback of a request."""
        name = event["programme"]
        placement = Placement(event["home"], event["copies"])
        if name not in self.titles:
            self.titles[name] = Title(name, *placement)
        playback = Playback(
            self.titles[name], self.plans[event["profile"]], event["topRung"],
            now + terms.ms_to_ns(event["budgetMs"]), event["backFromMove"], placement,
        )  # fmt: skip
        self.playbacks[event["rid"]] = playback
        self.request_ids[playback] = event["rid"]
        return playback
