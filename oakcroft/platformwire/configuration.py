"""The JSON configuration that the platform gives a front end."""

from __future__ import annotations

from typing import Any

import orjson

from oakcroft import terms
from oakcroft.interface import Plan, Terms
from oakcroft.platformwire import command_channel, settings


class Faulty(Exception):
    """A configuration that cannot be used; the message names the field."""


class Configuration:
    """What a front end is configured with at its start. Times are in ns, rates in kB a second."""

    def __init__(self, said: dict[str, Any]) -> None:
        """Reads a decoded configuration; raises ConfigurationError for the first field that cannot be used."""
        field: Any = ""
        try:
            for field in ("name", "listen", "seed", "limits", "channel", "known", "settings"):
                said[field]
            field = "listen"
            self.listen = command_channel.address(said["listen"])
            field = "channel"
            self.channel = command_channel.address(said["channel"])
            field = "known"
            self.known = command_channel.events(said["known"])
            field = "seed"
            self.seed = int(said["seed"], 16)
            field = "name"
            self.name = str(said["name"])
            field = "limits.sockets"
            self.sockets = command_channel.whole(said["limits"]["sockets"], field)
            field = "limits.memory_mb"
            self.memory = command_channel.whole(said["limits"]["memory_mb"], field) << 20
            field = "limits.cores"
            self.cores = float(said["limits"].get("cores", 1.0))
            field = "settings"
            env = self.settings = said["settings"]
            settings.check(env)
            info, may = env["familyInfo"], env["permissions"]
            self.terms: Terms = terms.terms(env)
            self.plans: dict[str, Plan] = terms.plans(env)
            self.waits = {c["name"]: terms.nanos(c["deadlineMs"]) for c in env["classes"]}
            self.link_per_weight = float(info["weightKb"])
            self.places: dict[str, float] = dict(zip(env["models"], info["kindSlots"], strict=True))
            self.idle = terms.nanos(may["connIdleMs"])
            self.connect_within = terms.nanos(may["dialTimeoutMs"])
            self.streams = int(may["streamsPerConn"])
            self.most_open = int(may["maxOpen"])
        except KeyError as fault:
            missing = str(fault.args[0])
            raise Faulty(
                f"{field}: {missing} is missing" if missing != field else f"{field} is missing"
            ) from fault
        except settings.Unserved as fault:
            raise Faulty(str(fault)) from fault
        except (
            command_channel.Unreadable,
            TypeError,
            ValueError,
            IndexError,
            AttributeError,
            ArithmeticError,
        ) as fault:
            raise Faulty(f"{field}: {fault}") from fault
        for name, value, least in (
            ("limits.sockets", self.sockets, 64), ("limits.memory_mb", self.memory, 1 << 20),
        ):  # fmt: skip
            if value < least:
                raise Faulty(f"{name}: {value} is under {least}")


def decode(body: bytes) -> Configuration:
    """The configuration in a file's bytes; raises ConfigurationError if it cannot be used."""
    try:
        said = orjson.loads(body)
    except orjson.JSONDecodeError as fault:
        raise Faulty(f"no JSON: {fault}") from fault
    if not isinstance(said, dict):
        raise Faulty("no JSON object")
    return Configuration(said)
