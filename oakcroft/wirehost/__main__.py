"""Entry point: `python -m oakcroft.wirehost`."""

import sys

from oakcroft.wirehost.loop import serve

if __name__ == "__main__":
    sys.exit(serve(sys.stdin.buffer, sys.stdout.buffer, sys.stderr))
