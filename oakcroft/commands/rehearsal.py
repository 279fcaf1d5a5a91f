"""The `rehearse` and `stand-in` commands, which run a rehearsal day on loopback.

The commands import what they run only when called, since a serving front end starts from the same command line and
doesn't need it.
"""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING

import click
import trio

from oakcroft.commands.arguments import EXIT_FAILURE, EXIT_INVALID_INPUT, EXISTING_FILE
from oakcroft.config.diagnostics import InvalidConfigurationError

if TYPE_CHECKING:
    from oakcroft.standins.day import Day

SHIPPED_DAYS_FOLDER = Path(__file__).parents[1] / "rehearsal"


@click.command()
@click.argument("file", required=False)
@click.option("--seed", type=int, help="Use another seed for the day.")
@click.option("--baseline/--no-baseline", default=True, help="Also run the same day with the naive baseline.")
@click.option(
    "--day", "bench_day", type=EXISTING_FILE, help="Run the faults of a day file in the format of the bench."
)
@click.option(
    "--keep", type=click.Path(file_okay=False, path_type=Path), help="Keep records and logs in this folder."
)
@click.option("--mixed", is_flag=True, help="Every second viewer uses the WebSocket session API.")
@click.option("--state", "with_state", is_flag=True, help="Fronts keep a state file over their crashes.")
@click.option("--patient", is_flag=True, help="Players look up their sessions again after a front crashes.")
def rehearse(
    file: str | None,
    seed: int | None,
    baseline: bool,
    bench_day: Path | None,
    keep: Path | None,
    mixed: bool,
    with_state: bool,
    patient: bool,
) -> None:
    """Run the day FILE with real fronts on loopback and check the rules on what the sockets carried.

    FILE may be the name of a shipped day, bad-day, split-fleet or late-owner; by default bad-day is run.
    """
    from oakcroft.rehearsal import report, runner
    from oakcroft.rehearsal.mixed_audience import MixedAudience
    from oakcroft.rehearsal.viewers import Audience

    try:
        day, body = _read_day(file, bench_day)
    except (InvalidConfigurationError, ValueError, OSError) as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_INVALID_INPUT)
    if seed is not None:
        day = day.with_seed(seed)
    audience = MixedAudience if mixed else Audience
    outcome = runner.play(day, body, "oakcroft", click.echo, keep, audience, with_state, patient)
    baseline_outcome = None
    if baseline:
        click.echo("the naive baseline on the same day:")
        baseline_outcome = runner.play(day, body, "naive", click.echo, keep and keep / "naive")
    click.echo(report.render_report(outcome, baseline_outcome))
    sys.exit(0 if outcome.kept else EXIT_FAILURE)


def _read_day(file: str | None, bench_day: Path | None) -> tuple[Day, str]:
    """Returns a day and its text: a file, a shipped day by its name, or a day translated from a file of the bench."""
    from oakcroft.rehearsal.bench_day import translate
    from oakcroft.standins.day import parse_day

    if bench_day is not None:
        body, notes = translate(bench_day.read_bytes(), bench_day.stem)
        for note in notes:
            click.echo(note)
        return parse_day(body, bench_day.stem), body
    shipped = SHIPPED_DAYS_FOLDER / f"{file or 'bad-day'}.oak"
    source = shipped if shipped.exists() else Path(file or "")
    body = source.read_text(encoding="utf-8")
    return parse_day(body, source.stem), body


@click.command(name="stand-in", hidden=True)
@click.argument("file", type=EXISTING_FILE)
@click.option("--seed", type=int, required=True)
@click.option(
    "--start", type=int, help="Start of the day, ns since the epoch; by default read from standard input."
)
@click.option("--record", type=click.Path(dir_okay=False, path_type=Path), required=True)
def stand_in(file: Path, seed: int, start: int | None, record: Path) -> None:
    """Run the simulated fleet of a day: its nodes, its list service and its faults."""
    from oakcroft.standins import program
    from oakcroft.standins.day import load_day

    try:
        trio.run(program.main, load_day(file).with_seed(seed), start, record)
    except program.InvalidStartError as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_INVALID_INPUT)
