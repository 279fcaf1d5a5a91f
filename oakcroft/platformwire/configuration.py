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
            environment = self.settings = raw["settings"]
            settings.check(environment)
            family, permissions = environment["familyInfo"], environment["permissions"]
            self.terms: DeploymentSettings = terms.read_settings(environment)
            self.plans: dict[str, Plan] = terms.read_plans(environment)
            self.abandon_ns_by_plan = {
                plan["name"]: terms.ms_to_ns(plan["deadlineMs"]) for plan in environment["classes"]
            }
            self.link_rate_per_size = float(family["weightKb"])
            self.places_by_kind: dict[str, float] = dict(
                zip(environment["models"], family["kindSlots"], strict=True)
            )
            self.idle_timeout_ns = terms.ms_to_ns(permissions["connIdleMs"])
            self.connect_timeout_ns = terms.ms_to_ns(permissions["dialTimeoutMs"])
            self.streams_per_connection = int(permissions["streamsPerConn"])
            self.max_open = int(permissions["maxOpen"])
        except KeyError as error:
            missing = str(error.args[0])
            raise ConfigurationError(
                f"{field}: {missing} is missing" if missing != field else f"{field} is missing"
            ) from error
        except settings.SettingsError as error:
            raise ConfigurationError(str(error)) from error
        except (
            command_channel.ChannelError,
            TypeError,
            ValueError,
            IndexError,
            AttributeError,
            ArithmeticError,
        ) as error:
            raise ConfigurationError(f"{field}: {error}") from error
        for name, value, minimum in (
            ("limits.sockets", self.max_sockets, 64), ("limits.memory_mb", self.memory_bytes, 1 << 20),
        ):  # fmt: skip
            if value < minimum:
                raise ConfigurationError(f"{name}: {value} is under {minimum}")


def decode(body: bytes) -> Configuration:
    """The configuration in a file's bytes; raises ConfigurationError if it cannot be used."""
    try:
        raw = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise ConfigurationError(f"no JSON: {error}") from error
    if not isinstance(raw, dict):
        raise ConfigurationError("no JSON object")
    return Configuration(raw)
