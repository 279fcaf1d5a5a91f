"""Reads batches of events line by line and writes the resulting actions, until the input ends."""

from __future__ import annotations

from typing import Any, BinaryIO, TextIO

import orjson

from oakcroft import terms
from oakcroft.wirehost.instance import Instance, Message


class Batches:
    """All front ends of this process, and the numbered node lists that the protocol lets them share."""

    def __init__(self) -> None:
        """Starts without front ends and lists."""
        self.instances: dict[str, Instance] = {}
        self.lists: dict[int, list[Message]] = {}

    def answer(self, batch: dict[str, Any]) -> list[Message]:
        """Handles the events of a batch and returns the resulting actions.

        A fault in one event is reported as an action and ends the batch.
        """
        now = terms.nanos(batch["momentMs"])
        out: list[Message] = []
        for event in batch["news"]:
            op = event["op"]
            if op == "page":
                self.lists[event["rosterId"]] = event["nodesList"]
                continue
            who = event["who"]
            try:
                self._hear(op, who, event, now, out)
            except Exception as fault:  # the protocol has an action for it
                cause = f"{type(fault).__name__}: {fault} on {op}"
                out.append({"op": "giveIn", "who": who, "message": cause})
                break
        return out

    def _hear(self, op: str, who: str, event: Message, now: int, out: list[Message]) -> None:
        """Handles one event of a front end; events of front ends that do not run are ignored."""
        if op == "kill":
            self.instances.pop(who, None)
        elif op == "powerOn":
            self.instances[who] = Instance(who, event, now, out)
        elif who in self.instances:
            instance = self.instances[who]
            instance.out = out
            instance.hear(event, now, self.lists)


def serve(lines: BinaryIO, replies: BinaryIO, errors: TextIO) -> int:
    """Answers each line; returns the exit status: 0 at the end of input, 1 on a line that is not a batch."""
    batches = Batches()
    for line in lines:
        try:
            batch = orjson.loads(line)
            if not isinstance(batch["news"], list) or not isinstance(batch["momentMs"], int | float):
                raise TypeError("news and momentMs do not make a batch")
        except (orjson.JSONDecodeError, KeyError, TypeError) as fault:
            print(f"oakcroft: input line is no batch: {fault}", file=errors)
            return 1
        replies.write(orjson.dumps({"do": batches.answer(batch)}) + b"\n")
        replies.flush()
    return 0
