"""Measures the cost of a front's state file, of catalogue changes under load, and of catalogues by size, each in one run.

    python -m benchmarks.state_cost [--rate 80] [--seconds 10] [--titles 100 1000 10000 100000]

The same paid set-ups, open-loop and each measured from when it was due, are sent to a front without a state file, to one
that leaves syncing to the operating system, and to one that syncs each commit. Then the maximum rate with 16 concurrent
requests is measured. Bytes written are the process's storage writes as counted by the kernel, per playback set up.
"""

from __future__ import annotations

import argparse
import tempfile
import time
import tracemalloc
from http import HTTPStatus
from pathlib import Path

import trio

from benchmarks.child_processes import SITE, WARM_UP_S, Process, day_text, start_front_and_nodes
from benchmarks.load_generator import TITLE_COUNT, LoadGenerator, format_percentiles, new_latencies
from benchmarks.results import describe_machine
from oakcroft.catalogue.text import text_digest, read_catalogue, format_catalogue
from oakcroft.decisions.routing.catalogue import (
    Catalogue,
    FleetSnapshot,
    CatalogueTitle,
    changed_titles,
    evaluate_change,
)
from oakcroft.decisions.routing.title_cache import TitleCache
from oakcroft.httpwire.client import HttpClient

SITE_PAID = SITE.replace("(effect free)", "(effect paid)")
NODES = 10
SECRET = "operators-secret"
STARTUP_TARGET_US = 1_000_000
FLEET_NODES = 200
CACHED_TITLES = 50_000
HOLDERS_PER_TITLE = 4


def written_bytes(process: Process) -> int:
    """Returns the bytes that a process has caused to be written to storage."""
    assert process.child is not None
    lines = Path(f"/proc/{process.child.pid}/io").read_text().splitlines()
    return int(dict(line.split(": ") for line in lines)["write_bytes"])


async def measure_state(kind: str, rate: float, seconds: float) -> None:
    """Measures a front without a state file ("off"), or with one that is "unsynced" or "synced"."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        site = SITE_PAID.format(nodes=NODES)
        day = day_text(NODES).replace(SITE.format(nodes=NODES), site)
        state_options = f' (state "{folder}/state") (state-sync {"yes" if kind == "synced" else "no"})'
        rig = await start_front_and_nodes(folder, day, site, "" if kind == "off" else state_options)
        front = rig.front
        try:
            await trio.sleep(WARM_UP_S)
            load = LoadGenerator(rig.port, rig.node_ports)
            latencies = new_latencies()
            written_before = written_bytes(front)
            processor_before = front.processor_seconds()
            await load.run_open_loop(rate, seconds, False, latencies)
            count = latencies.get_total_count()
            written_each = (written_bytes(front) - written_before) / max(1, count)
            cores = (front.processor_seconds() - processor_before) / seconds
            max_rate = await load.measure_max_rate(16, 6)
            print(
                f"{kind:7} {format_percentiles(latencies)}; {written_each / 1000:5.1f} kB written a playback; "
                f"{cores:.2f} cores at {rate:.0f}/s; "
                f"at most {max_rate:.0f} a second; failed {load.failed_count}",
                flush=True,
            )
        finally:
            await rig.stop()


class CatalogueReplacer:
    """Replaces the whole catalogue of a front each second."""

    def __init__(self, port: int, title_count: int) -> None:
        """Sends catalogues with this number of titles that no viewer requests, and those that viewers request."""
        self.port = port
        self.title_count = title_count
        self.accepted_count = 0

    async def run(self) -> None:
        """Sends catalogues that differ in the nodes of every title, until it is cancelled."""
        client = HttpClient("127.0.0.1", self.port)
        for version in range(1 << 30):
            entries = {
                f"t{i}": CatalogueTitle(("n0", f"n{1 + (i + version) % 9}")) for i in range(TITLE_COUNT)
            }
            entries |= {
                f"lesson-{i}": CatalogueTitle((f"n{(i + version) % NODES}",)) for i in range(self.title_count)
            }
            text = format_catalogue(entries.items(), False).encode()
            headers = [("Authorization", f"Bearer {SECRET}"), ("If-Match", "*")]
            response = await client.request("PUT", "/operators/catalogue", headers, text)
            self.accepted_count += response.status == HTTPStatus.OK
            await trio.sleep(1)


async def measure_catalogue_changes(titles: int, rate: float, seconds: float) -> None:
    """Measures set-ups without catalogue changes, and while the whole catalogue is replaced each second."""
    with tempfile.TemporaryDirectory() as folder:
        operators_form = f'\n(operators (secret "{SECRET}"))'
        rig = await start_front_and_nodes(
            Path(folder), day_text(NODES), SITE.format(nodes=NODES), further_forms=operators_form
        )
        load = LoadGenerator(rig.port, rig.node_ports)
        replacer = CatalogueReplacer(rig.port, titles)
        try:
            await trio.sleep(WARM_UP_S)
            for case in ("alone", "swapped"):
                latencies = new_latencies()
                async with trio.open_nursery() as nursery:
                    if case == "swapped":
                        nursery.start_soon(replacer.run)
                    await load.run_open_loop(rate, seconds, False, latencies)
                    nursery.cancel_scope.cancel()
                some_late = "; some late" if latencies.get_max_value() > STARTUP_TARGET_US else ""
                print(
                    f"{case:8} {format_percentiles(latencies)}; longest {latencies.get_max_value() / 1e3:.0f}; "
                    f"failed {load.failed_count}; {replacer.accepted_count} swaps of {titles} titles{some_late}",
                    flush=True,
                )
        finally:
            await rig.stop()


def filled_cache(titles: list[str]) -> TitleCache:
    """Returns the cache of a front that has met these titles."""
    cache = TitleCache(CACHED_TITLES, FLEET_NODES, 6, {})
    for title in titles:
        cache.get(title, 0)
    return cache


def catalogue_titles(count: int) -> dict[str, CatalogueTitle]:
    """Returns the titles of a catalogue, each with holders and rates."""
    return {
        f"lesson-{i}": CatalogueTitle(
            tuple(f"n{(i + holder) % FLEET_NODES}" for holder in range(HOLDERS_PER_TITLE)),
            rates=(200.0, 400.0, 800.0),
        )
        for i in range(count)
    }


def measure_catalogue_size(size: int) -> None:
    """Measures reading, comparing and applying a catalogue of this size, and its memory."""
    node_names = frozenset(f"n{i}" for i in range(FLEET_NODES))
    fleet = FleetSnapshot(node_names, node_names, 5, FLEET_NODES, {})
    titles = catalogue_titles(size)
    text = format_catalogue(titles.items(), False)
    began = time.perf_counter()
    old_content = read_catalogue(text)
    read_s = time.perf_counter() - began
    began = time.perf_counter()
    read_catalogue("; by its forms\n" + text)  # the comment makes it use the slower parser of any layout
    slow_read_s = time.perf_counter() - began
    tracemalloc.start()
    new_content = read_catalogue(text)
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    old = Catalogue(1, text_digest(text), old_content.titles, False)
    changes = {"lesson-0": CatalogueTitle(("n7",)), "another": CatalogueTitle(("n9",))}
    new = Catalogue(2, "new", new_content.titles | changes, False)
    cache = filled_cache(list(titles)[:CACHED_TITLES])
    began = time.perf_counter()
    names = changed_titles(old, new)
    compare_s = time.perf_counter() - began
    began = time.perf_counter()
    verdict, _ = evaluate_change(old, new, names, old.digest, fleet)
    cache.apply_catalogue(new.titles, names)
    apply_s = time.perf_counter() - began
    print(
        f"{size:7} titles, {len(text) / 1e6:6.2f} MB: read in {read_s * 1e3:7.1f} ms ({slow_read_s * 1e3:.1f} else), "
        f"compared in {compare_s * 1e3:5.1f} ms, both beside the loop; judged and taken in {apply_s * 1e3:6.3f} ms; "
        f"{memory / 1e6:6.1f} MB; {verdict.name.lower()}",
        flush=True,
    )


def main() -> None:
    """Parses the arguments and runs the chosen measurements."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--rate", type=float, default=80)
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--titles", type=int, nargs="*", default=[100, 1000, 10_000, 100_000])
    parser.add_argument("--only", choices=("state", "catalogue", "swaps"))
    arguments = parser.parse_args()
    print(f"{describe_machine()}; times in ms")
    if arguments.only in ("state", None):
        for kind in ("off", "unsynced", "synced"):
            trio.run(measure_state, kind, arguments.rate, arguments.seconds)
    if arguments.only == "swaps" or not arguments.only:
        trio.run(measure_catalogue_changes, 5_000, 60, 20)
    if arguments.only in ("catalogue", None):
        for size in arguments.titles:
            measure_catalogue_size(size)


if __name__ == "__main__":
    main()
