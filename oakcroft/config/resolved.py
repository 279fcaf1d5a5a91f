"""Resolves records to plain data that is equal for configurations with the same semantics."""

from __future__ import annotations

import hashlib
from typing import Any

from oakcroft.config import forms
from oakcroft.config.records import Records
from oakcroft.config.schema import Record

Meaning = dict[str, dict[str, Any]]
"""Resolved field values by form name; for a named form the values of each instance by the instance's name."""

OPTIONAL = (
    forms.FRONT, forms.FLEET, forms.LADDER, forms.PREFERENCE, forms.PEERS, forms.KEEPERS, forms.ADOPTING, forms.PROBING,
)  # fmt: skip
"""Forms that are left out when absent: a form with only default values would have another meaning."""

UNORDERED = {"wings", "kinds", "racks", "tags", "nodes", "but", "titles", "claim"}
"""Fields whose values form a set: their order has no meaning."""

DIGEST_OCTETS = 32


def meaning(records: Records) -> Meaning:
    """Resolves the records of a configuration without errors.

    The result is equal for texts that differ only in order, layout, comments, units, includes and definitions.
    """
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
    """Returns a record's values by field name, defaults included. A secret is replaced by its digest, so that the
    result can be shown."""
    out = {field.name: _plain(record, field.name) for field in record.schema.fields}
    if "titles" in out and "*" in out["titles"]:
        out["titles"] = ()  # "*" stands for all titles, as does no title
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
