"""The simulator adapter (oakcroft/wirehost), run as a process: exchanges over its line protocol."""

from __future__ import annotations

import json
import subprocess
import sys
from typing import Any

SETTINGS: dict[str, Any] = {
    "balancers": 1,
    "me": 0,
    "membershipMode": "automatic",
    "models": ["k"],
    "classes": [{"deadlineMs": 4000.0, "effect": "free", "name": "p", "objectiveMs": 800.0, "worth": 1.0}],
    "familyInfo": {
        "cells": 1,
        "classSeats": [0],
        "classTop": [2],
        "floorByClass": [0],
        "groups": 1,
        "joinAdds": 1.0,
        "kindSlots": [10],
        "live": [False],
        "rateFactor": [1.0],
        "ratesKb": [100.0, 200.0, 400.0],
        "reportsEveryMs": 3000.0,
        "rungWorth": [0.3, 0.6, 1.0],
        "seenAfterMs": 900.0,
        "uplinkKb": 9000.0,
        "weightKb": 4000.0,
    },
    "permissions": {"maxAttempts": 3, "maxRetryAfterMs": 1000.0, "retryAfter": True},
    "rules": {
        "coldMs": 8000.0,
        "coldShare": 0.4,
        "drainGraceMs": 250.0,
        "fallMultiple": 2.5,
        "overloadForMs": 1000.0,
    },
}
NODE = {
    "classOfHost": "k",
    "share": 1,
    "startedAtMs": None,
    "node": "n",
    "cell": 0,
    "zone": "z",
    "availability": 1,
}
REQUEST = {
    "op": "accept",
    "who": "e",
    "rid": "r",
    "programme": "t",
    "partitionKey": "k",
    "budgetMs": 4000.0,
    "profile": "p",
    "backFromMove": False,
    "home": 0,
    "copies": 1,
    "topRung": 2,
    "extra": 1,
}


def run_adapter(*lines: str) -> tuple[list[Any], int, str]:
    """Runs the adapter on some lines; returns its actions by line, its exit status and its error output."""
    text = "".join(line + "\n" for line in lines)
    process = subprocess.run(
        [sys.executable, "-m", "oakcroft.wirehost"], input=text, capture_output=True, text=True, check=False
    )
    return (
        [json.loads(line)["do"] for line in process.stdout.splitlines()],
        process.returncode,
        process.stderr,
    )


def batch(ms: float, *news: dict[str, Any]) -> str:
    """Returns a line of input: events at one time."""
    return json.dumps({"momentMs": ms, "news": news})


def test_a_playback_from_start_to_end() -> None:
    """A request causes a set-up on a node; the end of its playback causes no further action."""
    start = batch(
        1.0,
        {"op": "powerOn", "who": "e", "seed": 3, "env": SETTINGS},
        {"op": "page", "rosterId": 0, "nodesList": [NODE]},
        {"op": "registry", "who": "e", "how": 2, "index": 1, "rosterId": 0},
    )
    end = {
        "op": "reply",
        "who": "e",
        "rid": "r",
        "doneFlag": True,
        "delaySeenMs": 9.0,
        "outcome": "GOOD",
        "node": "n",
        "sendNo": 0,
        "report": {"x0": 0.2, "new": 1.0},
    }
    gone = {"op": "gone", "who": "e", "rid": "r"}
    replies, code, _ = run_adapter(
        start, batch(9001.0, REQUEST), batch(9900.0, end, gone), batch(9901.0, gone)
    )
    sent = [action["node"] for action in replies[1] if action["op"] == "deliver"]
    assert sent == ["n"]
    assert replies[2:] == [[], []]
    assert code == 0


def test_a_duplicate_outcome_does_not_end_the_next_try() -> None:
    """Guards against a duplicate outcome of one try that ends the try after it."""

    def reply(number: int) -> dict[str, Any]:
        return {
            "op": "reply",
            "who": "e",
            "rid": "r",
            "doneFlag": False,
            "delaySeenMs": 9.0,
            "outcome": "NOCONN",
            "node": "n",
            "sendNo": number,
        }

    nodes = [NODE, NODE | {"node": "m"}, NODE | {"node": "o"}]
    start = batch(
        1.0,
        {"op": "powerOn", "who": "e", "seed": 3, "env": SETTINGS},
        {"op": "page", "rosterId": 0, "nodesList": nodes},
        {"op": "registry", "who": "e", "how": 2, "index": 1, "rosterId": 0},
    )
    replies, code, _ = run_adapter(
        start, batch(9001.0, REQUEST), batch(9002.0, reply(0)), batch(9003.0, reply(0)), batch(9004.0)
    )
    assert [[action["op"] for action in actions if action["op"] == "deliver"] for actions in replies[1:]] == [
        ["deliver"],
        ["deliver"],
        [],
        [],
    ]
    assert code == 0


def test_an_exception_is_reported_with_its_cause() -> None:
    """An exception is reported as an action that names it."""
    replies, code, _ = run_adapter(batch(1.0, {"op": "powerOn", "who": "e", "seed": 3, "env": {}}))
    assert replies[0][-1]["op"] == "giveIn"
    assert "KeyError" in replies[0][-1]["message"]
    assert code == 0


def test_malformed_input_ends_the_adapter_with_one_error_line() -> None:
    """Malformed input ends the process with an exit status and a single error line."""
    for line in ("nonsense", "[]", '{"momentMs": 1}'):
        replies, code, errors = run_adapter(line)
        assert replies == []
        assert code != 0
        assert len(errors.splitlines()) == 1
