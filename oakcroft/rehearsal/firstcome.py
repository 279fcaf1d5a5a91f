"""A front end without load shedding, as a baseline for load shedding: requests are admitted first come, first served.

`python -m oakcroft.rehearsal.firstcome FILE` serves like `oakcroft serve FILE`, with a concurrency window that is never
full.
"""

from __future__ import annotations

import sys
from pathlib import Path

from oakcroft.cli import serve_file
from oakcroft.decisions.admission.load_shedding import ConcurrencyWindow
from oakcroft.front import request_queue

UNLIMITED = 1 << 40

if __name__ == "__main__":
    request_queue.ConcurrencyWindow = lambda: ConcurrencyWindow(  # type: ignore[assignment, misc, attr-defined]
        min_size=UNLIMITED, max_size=UNLIMITED, size=float(UNLIMITED)
    )
    sys.exit(serve_file(Path(sys.argv[1])))
