"""`python -m benchmarks.capacity`: the measurements behind the capacity page."""

from __future__ import annotations

import click

from benchmarks.capacity.fleet_command import fleet


@click.group()
def main() -> None:
    """Measures what control costs a front end, and how far it carries."""


main.add_command(fleet)

if __name__ == "__main__":
    main()
