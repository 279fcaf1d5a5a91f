#!/bin/sh
# Installs everything that `run` and `sim` need inside the repository's directory. Can be run again after an update.
set -eu
cd "$(dirname "$0")/.."
fail() { echo "oakcroft: build: $1" >&2; exit 1; }
# Recreates a virtual environment that was copied from elsewhere or whose Python was removed.
.venv/bin/python -c 'import sys; sys.exit(sys.version_info < (3, 11))' 2>/dev/null || {
    rm -rf .venv
    python3 -m venv .venv || fail "no virtual environment can be made: is python3-venv installed?"
}
# pip does not request packages that are installed in the right version, so no registry is needed for these.
.venv/bin/python -m pip install -q --disable-pip-version-check --no-input -r requirements.txt \
    || fail "a package of requirements.txt cannot be had (see above)"
.venv/bin/python -m pip check -q >/dev/null || fail "the packages do not fit each other: $(.venv/bin/python -m pip check)"
# Byte code is compiled here: `run` has a read-only file system, where 200 front ends would compile at each start.
.venv/bin/python -m compileall -q oakcroft || fail "a file does not compile"
.venv/bin/python -c 'import oakcroft.platform.serve, oakcroft.wirehost.loop' || fail "the program cannot be loaded"
