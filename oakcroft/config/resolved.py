"""Resolves records to plain data that is equal for configurations with the same semantics."""

from __future__ import annotations

import hashlib
from typing import Any

from oakcroft.config import forms
from oakcroft.config.records import Records
from oakcroft.config.schema import Record
from oakcroft.config.value_types import ADDRESS_TYPE

ResolvedConfig = dict[str, dict[str, Any]]
"""Resolved field values by form name; for a named form the values of each instance by the instance's name."""

OPTIONAL_FORMS = (
    forms.FRONT,
    forms.FLEET,
    forms.LADDER,
    forms.ZONE_PREFERENCE,
    forms.PEERS,
    forms.LEASE_ACCEPTORS,
    forms.SESSION_TAKEOVER,
    forms.LOAD_PROBING,
)
"""Forms that are left out when absent: a form with only default values would have another meaning."""

UNORDERED_FIELDS = {"wings", "kinds", "racks", "tags", "nodes", "but", "titles", "claim"}
"""Fields whose values form a set: their order has no meaning."""

DIGEST_BYTES = 32


def resolve(records: Records) -> ResolvedConfig:
    """Resolves the records of a configuration without errors.

    The result is equal for texts that differ only in order, layout, comments, units, includes and definitions.
    """
    resolved: ResolvedConfig = {}
    for schema in forms.SINGLE_FORMS:
        record = records.find_single(schema)
        if record is not None:
            resolved[schema.name] = resolve_fields(record)
        elif schema not in OPTIONAL_FORMS:
            resolved[schema.name] = {field.name: field.default for field in schema.fields}
    for schema in forms.NAMED_FORMS:
        named = sorted(records.named_records(schema).items())
        resolved[schema.name] = {name: resolve_fields(record) for name, record in named}
    return resolved


def resolve_fields(record: Record) -> dict[str, Any]:
    """Returns a record's values by field name, defaults included. A secret is replaced by its digest, so that the
    result can be shown."""
    values = {field.name: _resolve_field(record, field.name) for field in record.schema.fields}
    if "titles" in values and "*" in values["titles"]:
        values["titles"] = ()  # "*" stands for all titles, as does no title
    return values


def _resolve_field(record: Record, field_name: str) -> Any:
    value = record.get(field_name)
    if isinstance(value, Record):
        return resolve_fields(value)
    if field_name == "secret" and value:
        return hashlib.blake2b(value.encode(), digest_size=DIGEST_BYTES).hexdigest()
    field = record.schema.find_field(field_name)
    is_address = field is not None and field.value_type is ADDRESS_TYPE
    if isinstance(value, list | tuple) and not is_address:
        items = [tuple(item) if isinstance(item, list) else item for item in value]
        return tuple(sorted(set(items)) if field_name in UNORDERED_FIELDS else items)
    return value
