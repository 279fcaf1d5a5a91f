"""What keeping state costs a front, and what catalogues cost, swapped under load and by their size, each in one run.

    python -m benchmarks.state_cost [--rate 80] [--seconds 10] [--titles 100 1000 10000 100000]

The same paid set-ups, open-loop and each measured from when it was due, go to a front without a state file, with one
that leaves syncing to the operating system, and with one that syncs each commit. Then set-ups go as fast as 16 at once
allow. Bytes written are the process's own count of what went to storage, over the playbacks set up.
"""

from __future__ import annotations

import argparse
import os
import platform
import tempfile
import time
import tracemalloc
from pathlib import Path

import orjson
import trio
from hdrh.histogram import HdrHistogram

from benchmarks.front_cost import SITE, WARM, Load, Process, day, line
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

PAID = SITE.replace("(effect free)", "(effect paid)")


def written(process: Process) -> int:
    """Bytes that a process has had written to storage."""
    assert process.child is not None
    fields = dict(x.split(": ") for x in Path(f"/proc/{process.child.pid}/io").read_text().splitlines())
    return int(fields["write_bytes"])


async def state(kind: str, rate: float, seconds: float) -> None:
    """One front of one kind."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        (folder / "day.oak").write_text(day(10).replace(SITE.format(nodes=10), PAID.format(nodes=10)))
        fleet = Process("stand-in", str(folder / "day.oak"), "--seed", "1", "--start", str(1 << 62),
                        "--record", str(folder / "record"))  # fmt: skip
        greeting = orjson.loads(await fleet.start(folder / "fleet.log"))
        own = f'(listen "127.0.0.1:0") (list-service "127.0.0.1:{greeting["list"]}")'
        if kind != "off":
            own += f' (state "{folder}/state") (state-sync {"yes" if kind == "synced" else "no"})'
        (folder / "front.oak").write_text(f"(front {own})\n{PAID.format(nodes=10)}")
        front = Process("serve", str(folder / "front.oak"))
        port = int((await front.start(folder / "front.log")).split(b":")[-1])
        try:
            await trio.sleep(WARM)
            load, found, before, cpu = (
                Load(port, greeting["nodes"]),
                HdrHistogram(1, 60_000_000, 3),
                written(front),
                front.cpu(),
            )
            await load.timed(rate, seconds, False, found)
            count = found.get_total_count()
            each, cores = (written(front) - before) / max(1, count), (front.cpu() - cpu) / seconds
            most = await load.most(16, 6)
            print(f"{kind:7} {line(found)}; {each / 1000:5.1f} kB written a playback; {cores:.2f} cores at {rate:.0f}/s; "
                  f"at most {most:.0f} a second; failed {load.failed}", flush=True)  # fmt: skip
        finally:
            await front.stop()
            await fleet.stop()


async def swaps(titles: int, rate: float, seconds: float) -> None:
    """Set-ups while the whole catalogue is swapped each second, and without."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        (folder / "day.oak").write_text(day(10))
        fleet = Process("stand-in", str(folder / "day.oak"), "--seed", "1", "--start", str(1 << 62),
                        "--record", str(folder / "record"))  # fmt: skip
        greeting = orjson.loads(await fleet.start(folder / "fleet.log"))
        own = f'(front (listen "127.0.0.1:0") (list-service "127.0.0.1:{greeting["list"]}"))'
        ops = '(operators (secret "operators-secret"))'
        (folder / "front.oak").write_text(f"{own}\n{SITE.format(nodes=10)}\n{ops}")
        front = Process("serve", str(folder / "front.oak"))
        port = int((await front.start(folder / "front.log")).split(b":")[-1])
        load, taken = Load(port, greeting["nodes"]), 0

        async def swap() -> None:
            nonlocal taken
            peer = HttpClient("127.0.0.1", port)
            for n in range(1 << 30):
                some = {f"t{i}": CatalogueTitle(("n0", f"n{1 + (i + n) % 9}")) for i in range(50)}
                some |= {f"lesson-{i}": CatalogueTitle((f"n{(i + n) % 10}",)) for i in range(titles)}
                text = format_catalogue(some.items(), False).encode()
                headers = [("Authorization", "Bearer operators-secret"), ("If-Match", "*")]
                sat = await peer.request("PUT", "/operators/catalogue", headers, text)
                taken += sat.status == 200
                await trio.sleep(1)

        try:
            await trio.sleep(WARM)
            for what in ("alone", "swapped"):
                found = HdrHistogram(1, 60_000_000, 3)
                async with trio.open_nursery() as nursery:
                    if what == "swapped":
                        nursery.start_soon(swap)
                    await load.timed(rate, seconds, False, found)
                    nursery.cancel_scope.cancel()
                late = found.get_max_value() > 1_000_000
                print(f"{what:8} {line(found)}; longest {found.get_max_value() / 1e3:.0f}; failed {load.failed}; "
                      f"{taken} swaps of {titles} titles{'; some late' if late else ''}", flush=True)  # fmt: skip
        finally:
            await front.stop()
            await fleet.stop()


def catalogues(sizes: list[int]) -> None:
    """Catalogues of different sizes: reading, one change, and what it takes."""
    fleet = FleetSnapshot(
        frozenset(f"n{i}" for i in range(200)), frozenset(f"n{i}" for i in range(200)), 5, 200, {}
    )
    for size in sizes:
        titles = {
            f"lesson-{i}": CatalogueTitle(
                tuple(f"n{(i + k) % 200}" for k in range(4)), rates=(200.0, 400.0, 800.0)
            )
            for i in range(size)
        }
        text = format_catalogue(titles.items(), False)
        began = time.perf_counter()
        said = read_catalogue(text)
        took = time.perf_counter() - began
        began = time.perf_counter()
        read_catalogue("; by its forms\n" + text)
        slowly = time.perf_counter() - began
        tracemalloc.start()
        held = read_catalogue(text)
        memory = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        old = Catalogue(1, text_digest(text), said.titles, False)
        new = Catalogue(
            2,
            "new",
            held.titles | {"lesson-0": CatalogueTitle(("n7",)), "another": CatalogueTitle(("n9",))},
            False,
        )
        shelf = TitleCache(50_000, 200, 6, {})
        for name in list(titles)[:50_000]:
            shelf.get(name, 0)
        began = time.perf_counter()
        names = changed_titles(old, new)
        differ = time.perf_counter() - began
        began = time.perf_counter()
        verdict, _ = evaluate_change(old, new, names, old.digest, fleet)
        shelf.apply_catalogue(new.titles, names)
        taken = time.perf_counter() - began
        print(f"{size:7} titles, {len(text) / 1e6:6.2f} MB: read in {took * 1e3:7.1f} ms ({slowly * 1e3:.1f} else), "
              f"compared in {differ * 1e3:5.1f} ms, both beside the loop; judged and taken in {taken * 1e3:6.3f} ms; "
              f"{memory / 1e6:6.1f} MB; {verdict.name.lower()}", flush=True)  # fmt: skip


def main() -> None:
    """Runs and prints."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--rate", type=float, default=80)
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--titles", type=int, nargs="*", default=[100, 1000, 10_000, 100_000])
    parser.add_argument("--only", choices=("state", "catalogue", "swaps"))
    given = parser.parse_args()
    print(f"{platform.machine()}, {os.cpu_count()} cores, Python {platform.python_version()}; times in ms")
    if given.only in ("state", None):
        for kind in ("off", "unsynced", "synced"):
            trio.run(state, kind, given.rate, given.seconds)
    if given.only == "swaps" or not given.only:
        trio.run(swaps, 5_000, 60, 20)
    if given.only in ("catalogue", None):
        catalogues(given.titles)


if __name__ == "__main__":
    main()
