"""Command line of the capacity model: `python -m benchmarks.capacity page|slopes|fleet`."""

from __future__ import annotations

import sys

import click

from benchmarks.capacity.experiments import Experiment, run_and_record
from benchmarks.capacity.fleet_command import fleet


@click.group()
def main() -> None:
    """Measure slopes, generate the page from them, and simulate fleets of front ends."""


def experiments() -> dict[str, Experiment]:
    """Returns all experiments by name.

    Their modules are imported here, as they import the measured program, which `page` does not need.
    """
    from benchmarks.capacity.measure_fleet import FLEET_EXPERIMENTS
    from benchmarks.capacity.measure_module import MODULE_EXPERIMENTS
    from benchmarks.capacity.measure_process import PROCESS_EXPERIMENTS
    from benchmarks.capacity.measure_rollout import ROLLOUT_EXPERIMENTS
    from benchmarks.capacity.measure_simulated import SIMULATED_EXPERIMENTS

    all_experiments = (
        *FLEET_EXPERIMENTS,
        *MODULE_EXPERIMENTS,
        *PROCESS_EXPERIMENTS,
        *ROLLOUT_EXPERIMENTS,
        *SIMULATED_EXPERIMENTS,
    )
    return {experiment.name: experiment for experiment in all_experiments}


@main.command()
@click.option("--only", "names", multiple=True, help="Experiment to run, may be repeated; all by default.")
@click.option(
    "--list",
    "listed",
    is_flag=True,
    help="Print the names of the experiments and what each measures against, and run none.",
)
def slopes(names: tuple[str, ...], listed: bool) -> None:
    """Measure slopes and store them in slopes.json."""
    known = experiments()
    unknown = [name for name in names if name not in known]
    if unknown:
        raise click.UsageError(f"unknown experiment {unknown[0]}; known are {', '.join(known)}")
    for name in names or known:
        if listed:
            click.echo(f"{name} ({known[name].kind}, against {known[name].against})")
        else:
            run_and_record(known[name], click.echo)


@main.command()
@click.option(
    "--check",
    is_flag=True,
    help="Write nothing; exit with 1 if the page differs from what would be generated.",
)
def page(check: bool) -> None:
    """Generate the tables of docs/CAPACITY.md."""
    from benchmarks.capacity.page import differences, write

    if not check:
        write()
        return
    found = differences()
    for difference in found:
        click.echo(difference, err=True)
    sys.exit(1 if found else 0)


main.add_command(fleet)

if __name__ == "__main__":
    main()
