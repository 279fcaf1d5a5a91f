#!/bin/sh
# All that `run` and `sim` need, inside the repository's folder; again over what an earlier text left there.
set -eu
cd "$(dirname "$0")/.."
fail() { echo "oakcroft: build: $1" >&2; exit 1; }
# A folder that was copied from elsewhere, or is of a Python that has gone, is laid anew.
.venv/bin/python -c 'import sys; sys.exit(sys.version_info < (3, 11))' 2>/dev/null || {
    rm -rf .venv
    python3 -m venv .venv || fail "no virtual environment can be made: is python3-venv installed?"
}
# What is there in the right version is not asked for again, so that no registry is needed then.
.venv/bin/python -m pip install -q --disable-pip-version-check --no-input -r requirements.txt \
    || fail "a package of requirements.txt cannot be had (see above)"
.venv/bin/python -m pip check -q >/dev/null || fail "the packages do not fit each other: $(.venv/bin/python -m pip check)"
# Byte code: `run` has a read-only file system, and 200 front ends would compile it at each of their starts.
.venv/bin/python -m compileall -q oakcroft || fail "a file does not compile"
.venv/bin/python -c 'import oakcroft.platform.serve, oakcroft.wirehost.loop' || fail "the program cannot be loaded"
