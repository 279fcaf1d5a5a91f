#!/bin/sh
# Builds the stand-ins of the cases; they need nothing but the Python that the deploy file's build has made.
set -eu
cd "$(dirname "$0")"
../.venv/bin/python -m compileall -q .
