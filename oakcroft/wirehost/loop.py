"""Reads batches of events line by line and writes the resulting actions, until the input ends."""

from __future__ import annotations

from typing import Any, BinaryIO, TextIO

import orjson

from oakcroft import terms
from oakcroft.wirehost.front_end import Message, SimulatorFrontEnd


class BatchProcessor:
    """All front ends of this process, and the numbered node lists that the protocol lets them share."""

    def __init__(self) -> None:
        """Starts without front ends and lists."""
        self.front_ends: dict[str, SimulatorFrontEnd] = {}
        self.node_lists: dict[int, list[Message]] = {}

    def process(self, batch: dict[str, Any]) -> list[Message]:
        """Handles the events of a batch and returns the resulting actions.

        A fault in one event is reported as an action and ends the batch.
        """
        now = terms.ms_to_ns(batch["momentMs"])
        actions: list[Message] = []
        for event in batch["news"]:
            op = event["op"]
            if op == "page":
                self.node_lists[event["rosterId"]] = event["nodesList"]
                continue
            front_id = event["who"]
            try:
                self._handle_event(op, front_id, event, now, actions)
            except Exception as fault:  # the protocol has an action for it
                cause = f"{type(fault).__name__}: {fault} on {op}"
                actions.append({"op": "giveIn", "who": front_id, "message": cause})
                break
        return actions

    def _handle_event(self, op: str, front_id: str, event: Message, now: int, actions: list[Message]) -> None:
        """Handles one event of a front end; events of front ends that do not run are ignored."""
        if op == "kill":
            self.front_ends.pop(front_id, None)
        elif op == "powerOn":
            self.front_ends[front_id] = SimulatorFrontEnd(front_id, event, now, actions)
        elif front_id in self.front_ends:
            front_end = self.front_ends[front_id]
            front_end.actions = actions
            front_end.handle_event(event, now, self.node_lists)


def serve(lines: BinaryIO, replies: BinaryIO, errors: TextIO) -> int:
    """Answers each line; returns the exit status: 0 at the end of input, 1 on a line that is not a batch."""
    processor = BatchProcessor()
    for line in lines:
        try:
            batch = orjson.loads(line)
            if not isinstance(batch["news"], list) or not isinstance(batch["momentMs"], int | float):
                raise TypeError("news must be a list and momentMs a number")
        except (orjson.JSONDecodeError, KeyError, TypeError) as fault:
            print(f"oakcroft: input line is not a batch: {fault}", file=errors)
            return 1
        replies.write(orjson.dumps({"do": processor.process(batch)}) + b"\n")
        replies.flush()
    return 0
