"""The JSON configuration that the platform gives a front end."""

from __future__ import annotations

from typing import Any

import orjson

from oakcroft import terms
from oakcroft.interface import Plan, DeploymentSettings
from oakcroft.platformwire import command_channel, settings


class ConfigurationError(Exception):
    """A configuration that cannot be used; the message names the field."""


class Configuration:
    """What a front end is configured with at its start. Times are in ns, rates in kB a second."""

    def __init__(self, raw: dict[str, Any]) -> None:
        """Reads a decoded configuration; raises ConfigurationError for the first field that cannot be used."""
        field: Any = ""
        try:
            for field in ("name", "listen", "seed", "limits", "channel", "known", "settings"):
                raw[field]
            field = "listen"
            self.listen_address = command_channel.parse_address(raw["listen"])
            field = "channel"
            self.channel_address = command_channel.parse_address(raw["channel"])
            field = "known"
            self.known_events = command_channel.parse_events(raw["known"])
            field = "seed"
            self.seed = int(raw["seed"], 16)
            field = "name"
            self.name = str(raw["name"])
            field = "limits.sockets"
            self.max_sockets = command_channel.parse_whole_number(raw["limits"]["sockets"], field)
            field = "limits.memory_mb"
            self.memory_bytes = command_channel.parse_whole_number(raw["limits"]["memory_mb"], field) << 20
            field = "limits.cores"
            self.cores = float(raw["limits"].get("cores", 1.0))
            field = "settings"
            env = self.settings = raw["settings"]
            settings.check(env)
            info, may = env["familyInfo"], env["permissions"]
            self.terms: DeploymentSettings = terms.read_settings(env)
            self.plans: dict[str, Plan] = terms.read_plans(env)
            self.abandon_ns_by_plan = {c["name"]: terms.ms_to_ns(c["deadlineMs"]) for c in env["classes"]}
            self.link_rate_per_size = float(info["weightKb"])
            self.places_by_kind: dict[str, float] = dict(zip(env["models"], info["kindSlots"], strict=True))
            self.idle_timeout_ns = terms.ms_to_ns(may["connIdleMs"])
            self.connect_timeout_ns = terms.ms_to_ns(may["dialTimeoutMs"])
            self.streams_per_connection = int(may["streamsPerConn"])
            self.max_open = int(may["maxOpen"])
        except KeyError as fault:
            missing = str(fault.args[0])
            raise ConfigurationError(
                f"{field}: {missing} is missing" if missing != field else f"{field} is missing"
            ) from fault
        except settings.SettingsError as fault:
            raise ConfigurationError(str(fault)) from fault
        except (
            command_channel.ChannelError,
            TypeError,
            ValueError,
            IndexError,
            AttributeError,
            ArithmeticError,
        ) as fault:
            raise ConfigurationError(f"{field}: {fault}") from fault
        for name, value, least in (
            ("limits.sockets", self.max_sockets, 64), ("limits.memory_mb", self.memory_bytes, 1 << 20),
        ):  # fmt: skip
            if value < least:
                raise ConfigurationError(f"{name}: {value} is under {least}")


def decode(body: bytes) -> Configuration:
    """The configuration in a file's bytes; raises ConfigurationError if it cannot be used."""
    try:
        said = orjson.loads(body)
    except orjson.JSONDecodeError as fault:
        raise ConfigurationError(f"no JSON: {fault}") from fault
    if not isinstance(said, dict):
        raise ConfigurationError("no JSON object")
    return Configuration(said)
