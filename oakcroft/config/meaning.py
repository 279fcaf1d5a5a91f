"""What a configuration means: plain data in which only what matters differs."""

from __future__ import annotations

import hashlib
from typing import Any

from oakcroft.config import forms
from oakcroft.config.records import Records
from oakcroft.config.schema import Record

Meaning = dict[str, dict[str, Any]]
"""By form: its fields, or for a named form its fields by name."""

OPTIONAL = (
    forms.FRONT, forms.FLEET, forms.LADDER, forms.PREFERENCE, forms.PEERS, forms.KEEPERS, forms.ADOPTING, forms.PROBING,
)  # fmt: skip
"""Forms that mean something else when they are absent than when all their fields stand by default."""

UNORDERED = {"wings", "kinds", "racks", "tags", "nodes", "but", "titles", "claim"}
"""Fields whose values mean the same in any order."""

DIGEST_OCTETS = 32


def meaning(records: Records) -> Meaning:
    """What a sound configuration means: the same for texts that differ only in order, layout, comments, units,
    includes and definitions."""
    out: Meaning = {}
    for schema in forms.SINGLE:
        record = records.one(schema)
        if record is not None:
            out[schema.name] = plain_values(record)
        elif schema not in OPTIONAL:
            out[schema.name] = {field.name: field.default for field in schema.fields}
    for schema in forms.NAMED:
        named = sorted(records.all(schema).items())
        out[schema.name] = {name: plain_values(record) for name, record in named}
    return out


def plain_values(record: Record) -> dict[str, Any]:
    """A record's values by field, defaults included. Secrets stand as their digests, so that a meaning may be shown."""
    out = {field.name: _plain(record, field.name) for field in record.schema.fields}
    if "titles" in out and "*" in out["titles"]:
        out["titles"] = ()  # all titles, as when none is named
    return out


def _plain(record: Record, name: str) -> Any:
    value = record.get(name)
    if isinstance(value, Record):
        return plain_values(value)
    if name == "secret" and value:
        return hashlib.blake2b(value.encode(), digest_size=DIGEST_OCTETS).hexdigest()
    field = record.schema.field(name)
    is_address = field is not None and field.kind is forms.ADDRESS
    if isinstance(value, list | tuple) and not is_address:
        items = [tuple(item) if isinstance(item, list) else item for item in value]
        return tuple(sorted(set(items)) if name in UNORDERED else items)
    return value
