"""The command line."""

from __future__ import annotations

import pickle
import subprocess
import sys
from functools import partial
from pathlib import Path

import click
import orjson
import trio

from oakcroft.choice import Controller
from oakcroft.commands import catalogue, fleet, state, status
from oakcroft.config import compare, explain as explaining, reference
from oakcroft.config.compile import Meaning, check as check_config, load_meaning, told
from oakcroft.config.expand import Folder
from oakcroft.config.format import fmt
from oakcroft.config.problems import Grade, Problems, Unsound
from oakcroft.config.told import Deployment
from oakcroft.decisions.routing.routing import Asked, Side
from oakcroft.front.steering import Decide
from oakcroft.running.collections import spare_collections
from oakcroft.running.logs import set_up
from oakcroft.front.serve import Front

FAULTY, BROKEN = 2, 1
FILE = click.Path(exists=True, dir_okay=False, path_type=Path)


@click.group(context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 100})
@click.version_option(package_name=None, version="0.2.0", prog_name="oakcroft")
def main() -> None:
    """oakcroft places and shapes video sessions on streaming servers.

    Exit codes: 0 all well, 1 a rule broken or a run failed, 2 wrong usage or configuration.
    """


def read_anew(file: Path, families: dict[str, int]) -> Deployment | list[str]:
    """A front's file as it stands now: what it says, or what is wrong with it."""
    try:
        return told(load_meaning(file), families)
    except Unsound as fault:
        return [fault.problems.show(p) for p in fault.problems.errors]
    except OSError as fault:
        return [f"{file}: {fault}"]


def read_apart(file: Path, families: dict[str, int]) -> Deployment | list[str]:
    """The same, checked by a process of its own: a large check would take the serving one's turns."""
    command = [sys.executable, "-m", "oakcroft", "config", "meaning", str(file)]
    done = subprocess.run(command, capture_output=True, timeout=120, check=False)
    if done.returncode == 0:
        return told(pickle.loads(done.stdout), families)
    said = done.stderr.decode("utf-8", "replace").strip()
    return [said or f"the check ended with {done.returncode}"]


def serve_file(file: Path, decide: Decide = Controller) -> int:
    """Serves by a front's file until a stop signal; the exit code."""
    found = read_anew(file, {})
    if isinstance(found, list):
        click.echo("\n".join(found), err=True)
        return FAULTY
    stand = found.stand

    async def ready(port: int) -> None:
        print(f"serving on {stand.host}:{port}", flush=True)

    log, code = set_up(stand.log, found.site.terms.front), 0
    spare_collections()
    try:
        trio.run(Front(found, log, decide, partial(read_apart, file)).run, ready)
    except* OSError as group:
        code = BROKEN
        for error in group.exceptions:
            click.echo(f"cannot serve: {error}", err=True)
    return code


@main.command()
@click.argument("file", type=FILE)
def serve(file: Path) -> None:
    """Run one front by FILE. SIGTERM lets it answer what is open and ends it; SIGHUP has it read FILE again."""
    sys.exit(serve_file(file))


for command in (state, catalogue, status, fleet):
    main.add_command(command)


@main.group()
def config() -> None:
    """Check, lay out, compare and explain configurations."""


def checked(file: Path, front: bool) -> tuple[Meaning | None, Problems]:
    """Checks a file from its folder."""
    return check_config(file.name, Folder(file.parent).open, front)


def sound(file: Path, front: bool) -> Meaning:
    """A file's meaning; shows its errors and exits where it has any."""
    found, problems = checked(file, front)
    if found is None:
        for problem in problems.errors:
            click.echo(problems.show(problem), err=True)
        sys.exit(FAULTY)
    return found


SHARED = click.option(
    "--shared", is_flag=True, help="The file is a shared part, without a (front …) of its own."
)


@config.command("check")
@click.argument("files", nargs=-1, required=True, type=FILE)
@click.option("--json", "as_json", is_flag=True, help="For tools: a JSON object a file.")
@click.option("--strict", is_flag=True, help="Warnings count as errors.")
@SHARED
def config_check(files: tuple[Path, ...], as_json: bool, strict: bool, shared: bool) -> None:
    """Show every error and warning of FILES and of what they include."""
    bad = False
    for file in files:
        _, problems = checked(file, not shared)
        found = problems.sorted()
        bad = bad or bool(problems.errors) or (strict and bool(found))
        if as_json:
            plain = [problems.plain(p) for p in found]
            click.echo(
                orjson.dumps({"file": str(file), "sound": not problems.errors, "problems": plain}).decode()
            )
            continue
        for problem in found:
            click.echo(problems.show(problem))
        warnings = sum(p.grade is Grade.WARNING for p in found)
        click.echo(f"{file}: {len(problems.errors)} errors, {warnings} warnings")
    sys.exit(FAULTY if bad else 0)


@config.command("fmt")
@click.argument("files", nargs=-1, required=True, type=FILE)
@click.option("--check", "only_check", is_flag=True, help="Change nothing; exit 2 if any file would change.")
def config_fmt(files: tuple[Path, ...], only_check: bool) -> None:
    """Bring FILES into their layout. Comments stay; meaning never changes."""
    changed = False
    for file in files:
        before = file.read_text(encoding="utf-8")
        try:
            after = fmt(before, str(file))
        except Unsound as fault:
            click.echo(str(fault), err=True)
            sys.exit(FAULTY)
        if after != before:
            changed = True
            click.echo(f"{file}: {'would change' if only_check else 'changed'}")
            if not only_check:
                file.write_text(after, encoding="utf-8")
    sys.exit(FAULTY if changed and only_check else 0)


@config.command("diff")
@click.argument("a", type=FILE)
@click.argument("b", type=FILE)
@SHARED
def config_diff(a: Path, b: Path, shared: bool) -> None:
    """Show what B means otherwise than A, and example requests that would go elsewhere. Exit 1 where they differ."""
    one, other = sound(a, not shared), sound(b, not shared)
    changes = compare.compare(one, other)
    for line in compare.tell(changes):
        click.echo(line)
    moved = compare.elsewhere(one, other)
    if moved:
        click.echo("these requests would go elsewhere:")
    for m in moved:
        click.echo("  " + compare.told_move(m))
    sys.exit(BROKEN if changes else 0)


@config.command("explain")
@click.argument("file", type=FILE)
@click.argument("path")
@click.option("--publish", is_flag=True, help="As a publisher asks.")
@click.option("--wing", default=None, help="At a front in this wing; else that of the file's own front.")
@click.option("--token", default="", help="With the token of this name.")
@SHARED
def config_explain(file: Path, path: str, publish: bool, wing: str | None, token: str, shared: bool) -> None:
    """Tell which route takes a request for PATH, why others do not, and which plan, pool and limits follow."""
    deployment = told(sound(file, not shared))
    tokens = {t.name: t for t in deployment.site.tokens.values()}
    if token and token not in tokens:
        click.echo(f"there is no token {token}", err=True)
        sys.exit(FAULTY)
    where = deployment.stand.zone if wing is None else wing
    asked = Asked(Side.PUBLISH if publish else Side.WATCH, path, where, tokens[token].claims if token else {})
    for line in explaining.explain(deployment.site, asked, token, deployment.site.terms.front):
        click.echo(line)


@config.command("meaning", hidden=True)
@click.argument("file", type=FILE)
def config_meaning(file: Path) -> None:
    """Print what FILE means, for a serving front that reads it again."""
    sys.stdout.buffer.write(pickle.dumps(sound(file, True)))


@config.command("reference")
def config_reference() -> None:
    """Print the reference page, made from the schemas."""
    click.echo(reference.page(), nl=False)


@config.command("complete")
@click.argument("within", default="")
@click.argument("word", default="")
def config_complete(within: str, word: str) -> None:
    """For editors: names that may stand in form WITHIN ("" for a file) and begin with WORD."""
    for name in reference.complete(within, word):
        click.echo(name)


@main.command()
def platform() -> None:
    """Serve on the platform's protocol by the file that PROXY_CONFIG names, until a stop signal.

    `python -m oakcroft platform` does the same and loads nothing else.
    """
    from oakcroft.platform.serve import main as serve

    sys.exit(serve())


@main.command()
@click.argument("file", required=False)
@click.option("--seed", type=int, help="Play the day from another seed.")
@click.option("--baseline/--no-baseline", default=True, help="Play the same day with the naive baseline too.")
@click.option("--day", "bench_day", type=FILE, help="Play the troubles of a day file as the bench draws it.")
@click.option(
    "--keep", type=click.Path(file_okay=False, path_type=Path), help="Keep records and logs in this folder."
)
@click.option("--mixed", is_flag=True, help="Every second viewer comes over the WebSocket session API.")
@click.option("--state", "with_state", is_flag=True, help="Fronts keep a state file over their deaths.")
@click.option("--patient", is_flag=True, help="Players look for their sessions again when a front dies.")
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
    """Play a day FILE through real fronts on loopback and judge the rules from the sockets.

    FILE may be the name of a shipped day, bad-day, split-fleet or late-owner; without it the bad day is played.
    """
    from oakcroft.rehearsal import report, runner
    from oakcroft.rehearsal.bench_day import translate
    from oakcroft.rehearsal.mixed import Mixed
    from oakcroft.rehearsal.viewers import Audience
    from oakcroft.standins.day import parse

    try:
        if bench_day is not None:
            body, notes = translate(bench_day.read_bytes(), bench_day.stem)
            for note in notes:
                click.echo(note)
            name = bench_day.stem
        else:
            shipped = Path(__file__).parent / "rehearsal" / f"{file or 'bad-day'}.oak"
            source = shipped if shipped.exists() else Path(file or "")
            body, name = source.read_text(encoding="utf-8"), source.stem
        plot = parse(body, name)
    except (Unsound, ValueError, OSError) as fault:
        click.echo(str(fault), err=True)
        sys.exit(FAULTY)
    if seed is not None:
        plot = plot.seeded(seed)
    audience = Mixed if mixed else Audience
    outcome = runner.play(plot, body, "oakcroft", click.echo, keep, audience, with_state, patient)
    other = None
    if baseline:
        click.echo("the naive baseline on the same day:")
        other = runner.play(plot, body, "naive", click.echo, keep and keep / "naive")
    click.echo(report.whole(outcome, other))
    sys.exit(0 if outcome.kept else BROKEN)


@main.command(name="stand-in", hidden=True)
@click.argument("file", type=FILE)
@click.option("--seed", type=int, required=True)
@click.option("--start", type=int, required=True, help="When the day begins, ns since the epoch.")
@click.option("--record", type=click.Path(dir_okay=False, path_type=Path), required=True)
def stand_in(file: Path, seed: int, start: int, record: Path) -> None:
    """Run the fleet of a day: its nodes, its list service and its faults."""
    from oakcroft.standins import program
    from oakcroft.standins.day import load as load_day

    trio.run(program.main, load_day(file).seeded(seed), start, record)
