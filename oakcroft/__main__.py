"""`python -m oakcroft`."""

import sys

if sys.argv[1:] == ["platform"]:  # runs on small machines, so no other module is loaded
    from oakcroft.platform.serve import main as platform

    sys.exit(platform())

from oakcroft.cli import main

main(prog_name="oakcroft")
