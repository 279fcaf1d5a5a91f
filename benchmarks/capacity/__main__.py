"""Capacity from the command line: `python -m benchmarks.capacity page|slopes|fleet`."""

from __future__ import annotations

import sys

import click

from benchmarks.capacity.experiments import Experiment, run_and_record
from benchmarks.capacity.fleet_command import fleet


@click.group()
def main() -> None:
    """Slopes, the page made from them, and fleets of front ends."""


def experiments() -> dict[str, Experiment]:
    """All of them by name. Loaded late: `page` needs none of the program."""
    from benchmarks.capacity.measure_fleet import FLEET_EXPERIMENTS
    from benchmarks.capacity.measure_module import MODULE_EXPERIMENTS
    from benchmarks.capacity.measure_process import PROCESS_EXPERIMENTS
    from benchmarks.capacity.measure_rollout import ROLLOUT_EXPERIMENTS
    from benchmarks.capacity.measure_simulated import SIMULATED_EXPERIMENTS

    every = (
        *FLEET_EXPERIMENTS, *MODULE_EXPERIMENTS, *PROCESS_EXPERIMENTS, *ROLLOUT_EXPERIMENTS, *SIMULATED_EXPERIMENTS,
    )  # fmt: skip
    return {one.name: one for one in every}


@main.command()
@click.option("--only", "names", multiple=True, help="Of these names; all without it.")
@click.option("--list", "listed", is_flag=True, help="The names and what each measures.")
def slopes(names: tuple[str, ...], listed: bool) -> None:
    """Measures slopes and puts them on record in slopes.json."""
    known = experiments()
    unknown = [name for name in names if name not in known]
    if unknown:
        raise click.UsageError(f"no {unknown[0]}; there are {', '.join(known)}")
    for name in names or known:
        if listed:
            click.echo(f"{name} ({known[name].kind}, against {known[name].against})")
        else:
            run_and_record(known[name], click.echo)


@main.command()
@click.option("--check", is_flag=True, help="Write nothing; end with 1 where page and arithmetic differ.")
def page(check: bool) -> None:
    """Makes the tables of docs/CAPACITY.md from the arithmetic."""
    from benchmarks.capacity.page import differences, write

    if not check:
        write()
        return
    found = differences()
    for one in found:
        click.echo(one, err=True)
    sys.exit(1 if found else 0)


main.add_command(fleet)

if __name__ == "__main__":
    main()
