"""Batches in, replies out, until the input ends."""

from __future__ import annotations

from typing import Any, BinaryIO, TextIO

import orjson

from oakcroft import terms
from oakcroft.wirehost.instance import Instance, Message


class Batches:
    """All instances of this process and the numbered lists that they share by the wire's rule."""

    def __init__(self) -> None:
        self.instances: dict[str, Instance] = {}
        self.lists: dict[int, list[Message]] = {}

    def answer(self, batch: dict[str, Any]) -> list[Message]:
        """All actions that one batch calls for."""
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
            except Exception as fault:  # the wire has a message of its own for this
                cause = f"{type(fault).__name__}: {fault} on {op}"
                out.append({"op": "giveIn", "who": who, "message": cause})
                break
        return out

    def _hear(self, op: str, who: str, event: Message, now: int, out: list[Message]) -> None:
        if op == "kill":
            self.instances.pop(who, None)
        elif op == "powerOn":
            self.instances[who] = Instance(who, event, now, out)
        elif who in self.instances:
            instance = self.instances[who]
            instance.out = out
            instance.hear(event, now, self.lists)


def serve(lines: BinaryIO, replies: BinaryIO, errors: TextIO) -> int:
    """Answer each line; 0 at the end of input, 1 on a line that is no batch."""
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
