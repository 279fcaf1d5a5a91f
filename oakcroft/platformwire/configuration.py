"""The JSON configuration that the platform gives a front end."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import orjson

from oakcroft import terms
from oakcroft.interface import Plan, DeploymentSettings
from oakcroft.platformwire import command_channel, settings

MIN_SOCKETS = 64
MIN_MEMORY_BYTES = 1 << 20


class ConfigurationError(Exception):
    """A configuration is invalid; the message names the field."""


class Configuration:
    """A front end's configuration, as read at its start. Times are in ns, rates in kB/s."""

    def __init__(self, raw: dict[str, Any]) -> None:
        """Reads a decoded configuration; raises ConfigurationError for the first invalid field."""
        for name in ("name", "listen", "seed", "limits", "channel", "known", "settings"):
            with _errors_naming(name):
                raw[name]
        with _errors_naming("listen"):
            self.listen_address = command_channel.parse_address(raw["listen"])
        with _errors_naming("channel"):
            self.channel_address = command_channel.parse_address(raw["channel"])
        with _errors_naming("known"):
            self.known_events = command_channel.parse_events(raw["known"])
        with _errors_naming("seed"):
            self.seed = int(raw["seed"], 16)
        with _errors_naming("name"):
            self.name = str(raw["name"])
        self._read_limits(raw["limits"])
        with _errors_naming("settings"):
            self._read_settings(raw["settings"])
        _check_minimum("limits.sockets", self.max_sockets, MIN_SOCKETS)
        _check_minimum("limits.memory_mb", self.memory_bytes, MIN_MEMORY_BYTES)

    def _read_limits(self, limits: Any) -> None:
        """Reads the limits on the resources of the process."""
        with _errors_naming("limits.sockets") as field:
            self.max_sockets = command_channel.parse_whole_number(limits["sockets"], field)
        with _errors_naming("limits.memory_mb") as field:
            self.memory_bytes = command_channel.parse_whole_number(limits["memory_mb"], field) << 20
        with _errors_naming("limits.cores"):
            self.cores = float(limits.get("cores", 1.0))

    def _read_settings(self, raw_settings: Any) -> None:
        """Checks the settings of the deployment and reads them."""
        self.raw_settings = raw_settings
        settings.check(raw_settings)
        family, permissions = raw_settings["familyInfo"], raw_settings["permissions"]
        self.deployment_settings: DeploymentSettings = terms.read_settings(raw_settings)
        self.plans: dict[str, Plan] = terms.read_plans(raw_settings)
        self.abandon_ns_by_plan = {
            plan["name"]: terms.ms_to_ns(plan["deadlineMs"]) for plan in raw_settings["classes"]
        }
        self.link_capacity_per_size = float(family["weightKb"])
        self.playback_capacity_by_kind: dict[str, float] = dict(
            zip(raw_settings["models"], family["kindSlots"], strict=True)
        )
        self.idle_timeout_ns = terms.ms_to_ns(permissions["connIdleMs"])
        self.connect_timeout_ns = terms.ms_to_ns(permissions["dialTimeoutMs"])
        self.streams_per_connection = int(permissions["streamsPerConn"])
        self.may_test_nodes = permissions.get("probing") is True
        self.max_sessions = int(permissions["maxOpen"])


@contextmanager
def _errors_naming(field: str) -> Iterator[str]:
    """Turns errors of the block into a ConfigurationError that names the field."""
    try:
        yield field
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


def _check_minimum(field: str, value: int, minimum: int) -> None:
    """Raises ConfigurationError for a value under its minimum."""
    if value < minimum:
        raise ConfigurationError(f"{field}: {value} is under {minimum}")


def decode(body: bytes) -> Configuration:
    """Decodes the contents of a configuration file; raises ConfigurationError if they are invalid."""
    try:
        raw = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise ConfigurationError(f"not valid JSON: {error}") from error
    if not isinstance(raw, dict):
        raise ConfigurationError("not a JSON object")
    return Configuration(raw)
