#!/bin/sh
# Builds the stand-ins of the second review's cases (6 to 10): Python of the standard library, compiled to byte code.
# Run it after the build of the deploy file, whose .venv it uses.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m py_compile review/rig2.py review/nodes2.py review/fleet2.py review/flood2.py
for case in 6 7 8 9 10; do
    test ! -f "review/$case/case.py" || .venv/bin/python -m py_compile "review/$case/case.py"
done
.venv/bin/python -c 'import sys; sys.path.insert(0, "review"); import rig2'
