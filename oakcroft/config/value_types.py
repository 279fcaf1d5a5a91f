"""The value types of addresses, paths, titles, ICE servers, secrets and shares."""

from __future__ import annotations

import re

from oakcroft.config.schema import NUMBER_TYPE, InvalidValueError, ValueType
from oakcroft.config.syntax import Atom

MAX_PORT = 65_535
MIN_SECRET_LENGTH = 8
PATH_PATTERN = re.compile(r"[A-Za-z0-9._~!$&'()*+,;=:@%/\-]+")
ICE_SERVER_PATTERN = re.compile(r"(stun|stuns|turn|turns):\S+")
BEARER_TOKEN_PATTERN = re.compile(r"[A-Za-z0-9._~+/\-]+=*")
SESSION_PATH = "/session/"
"""Path of the front end's own session resources."""


def _parse_address(atom: Atom) -> tuple[str, int]:
    host, colon, port = atom.text.rpartition(":")
    if not colon or not host:
        raise InvalidValueError(f"{atom.source_text} is not an address", 'write it as "127.0.0.1:8080"')
    if not port.isascii() or not port.isdigit() or int(port) > MAX_PORT:
        raise InvalidValueError(
            f"{port} is not a valid port", f"write a port from 0 to {MAX_PORT} (0: any free port)"
        )
    return host.strip("[]"), int(port)


def _parse_path_prefix(atom: Atom) -> str:
    path = atom.text
    if not path.startswith("/") or not path.endswith("/"):
        raise InvalidValueError(
            f"{atom.source_text} is not a valid path: it must begin and end with /",
            f'write "/{path.strip("/")}/"',
        )
    if path.startswith(SESSION_PATH):
        raise InvalidValueError(
            f"paths under {SESSION_PATH} are reserved for the front's own use", "choose another path"
        )
    if not PATH_PATTERN.fullmatch(path) or "//" in path:
        raise InvalidValueError(
            f"{atom.source_text} contains invalid characters or an empty segment",
            "use letters, digits and -._~ between single slashes",
        )
    return path


def _parse_title_pattern(atom: Atom) -> str:
    if "*" in atom.text[:-1] or "/" in atom.text or not atom.text:
        raise InvalidValueError(
            f"{atom.source_text} is not a title or a title prefix",
            "write a title, or a title prefix followed by *",
        )
    return atom.text


def _parse_ice_server(atom: Atom) -> str:
    if not ICE_SERVER_PATTERN.fullmatch(atom.text):
        raise InvalidValueError(f"{atom.source_text} is not an ICE server", 'write it as "stun:host:3478"')
    return atom.text


def _parse_secret(atom: Atom) -> str:
    if len(atom.text) < MIN_SECRET_LENGTH or not BEARER_TOKEN_PATTERN.fullmatch(atom.text):
        raise InvalidValueError(
            f"this secret is not a bearer token of at least {MIN_SECRET_LENGTH} characters",
            "generate one with: openssl rand -hex 16",
        )
    return atom.text


def _parse_share(atom: Atom) -> float:
    value = float(NUMBER_TYPE.parse(atom))
    if not 0 <= value <= 1:
        raise InvalidValueError(
            f"{atom.source_text} is not a share", "write a number from 0 to 1, or a percentage"
        )
    return value


ADDRESS_TYPE = ValueType("address", 'a host and a port, such as "127.0.0.1:8080"', _parse_address)
PATH_TYPE = ValueType(
    "path", 'a path prefix that precedes a title, such as "/whep/open/"', _parse_path_prefix
)
TITLE_TYPE = ValueType("title", "a title, or a title prefix followed by *", _parse_title_pattern)
ICE_SERVER_TYPE = ValueType("ICE server", 'a STUN or TURN URI, such as "stun:host:3478"', _parse_ice_server)
SECRET_TYPE = ValueType("secret", f"a bearer token of at least {MIN_SECRET_LENGTH} characters", _parse_secret)
SHARE_TYPE = ValueType("share", "a number from 0 to 1, or a percentage", _parse_share)
