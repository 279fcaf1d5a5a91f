"""A front without the line before the module, to measure it against: requests go on first come, first served.

`python -m oakcroft.rehearsal.firstcome FILE` serves like `oakcroft serve FILE`.
"""

from __future__ import annotations

import sys
from pathlib import Path

from oakcroft.cli import serve_file
from oakcroft.decisions.admission.load_shedding import Window
from oakcroft.front import session_service

ENDLESS = 1 << 40

if __name__ == "__main__":
    session_service.Window = lambda: Window(least=ENDLESS, most=ENDLESS, size=float(ENDLESS))  # type: ignore[assignment, misc, attr-defined]
    sys.exit(serve_file(Path(sys.argv[1])))
