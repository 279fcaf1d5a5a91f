"""The tables of a state file as a list of migrations.

A file of an earlier version gets the migrations that it lacks in one transaction. A file of a later version is not
opened.
"""

from __future__ import annotations

MIGRATIONS = (
    # 1: promises, and the node list with the time at which it was received.
    """
    CREATE TABLE promises (id TEXT PRIMARY KEY, key TEXT NOT NULL, mark TEXT NOT NULL, node TEXT NOT NULL,
        changed INTEGER NOT NULL, body BLOB NOT NULL) WITHOUT ROWID;
    CREATE TABLE nodes (name TEXT PRIMARY KEY, told INTEGER NOT NULL, body BLOB NOT NULL) WITHOUT ROWID;
    CREATE TABLE facts (name TEXT PRIMARY KEY, value BLOB NOT NULL) WITHOUT ROWID;
    """,
    # 2: penalties of nodes, slot usage of cold nodes, and moves in progress.
    """
    CREATE TABLE grudges (node TEXT PRIMARY KEY, score REAL NOT NULL, at INTEGER NOT NULL, failed INTEGER NOT NULL)
        WITHOUT ROWID;
    CREATE TABLE spent (node TEXT PRIMARY KEY, started INTEGER NOT NULL, slot INTEGER NOT NULL, used INTEGER NOT NULL,
        at INTEGER NOT NULL) WITHOUT ROWID;
    CREATE TABLE moves (playback TEXT PRIMARY KEY, copy TEXT NOT NULL, began INTEGER NOT NULL) WITHOUT ROWID;
    """,
    # 3: versions of the catalogue, and the index for finding expired promises.
    """
    CREATE TABLE versions (kind TEXT NOT NULL, number INTEGER NOT NULL, digest TEXT NOT NULL, taken INTEGER NOT NULL,
        why TEXT NOT NULL, body BLOB NOT NULL, PRIMARY KEY (kind, number)) WITHOUT ROWID;
    CREATE INDEX promises_changed ON promises (mark, changed);
    """,
)
SCHEMA_VERSION = len(MIGRATIONS)
