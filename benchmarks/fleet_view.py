"""How soon a fleet knows of a crash, settles after joins, mass crashes and partitions, and what that costs.

Pure views on a simulated network, seeded, the same every time; beside them a plain heartbeat from all to all.

    python -m benchmarks.fleet_view [--sizes 5,50,200] [--losses 0,0.05,0.2] [--crashes 20] [--hours 0] [--plot FILE]

All figures are simulated but the processor time, which is what the views took of this machine.
"""

from __future__ import annotations

import time
from dataclasses import dataclass
from pathlib import Path
from random import Random

import click

from oakcroft.decisions.membership.member import MemberState
from oakcroft.interface import MS, SECOND
from oakcroft.rehearsal.membership_simulation import HEADER_BYTES, SimulatedNetwork, settled_network

BEAT = SECOND  # of the plain heartbeat; with 20% loss five missed in a row are a chance of 3 in 10,000
MISSED = 5


@dataclass
class Row:
    """What was measured of one size and loss; seconds, and per front."""

    size: int
    loss: float
    first: list[float]
    all_: list[float]
    false: int
    hours: float
    join: float
    mass: float
    back: float
    heal: float
    datagrams: float
    octets: float
    cpu: float

    def show(self) -> str:
        """The row as a line of the table."""
        return cells(
            self.size, f"{self.loss:.0%}", spread(self.first), spread(self.all_), f"{self.false} in {self.hours:.2f} h",
            *(f"{s:.1f}" for s in (self.join, self.mass, self.back, self.heal, self.datagrams)),
            f"{self.octets / 1e3:.2f}", f"{self.cpu * 1e3:.1f}",
        )  # fmt: skip


def cells(*some: object) -> str:
    """A line of a table."""
    return "| " + " | ".join(str(one) for one in some) + " |"


def spread(values: list[float]) -> str:
    """p50, p99 and the most."""
    return f"{at(values, 0.5):.1f}, {at(values, 0.99):.1f}, {max(values):.1f}"


def at(values: list[float], share: float) -> float:
    """A value that this share of all lies at or under."""
    some = sorted(values)
    return some[min(len(some) - 1, int(share * len(some)))]


def crash(net: SimulatedNetwork, name: str) -> tuple[float, float]:
    """Seconds until the first and until all know that one is gone."""
    net.state_changes.clear()
    began = net.now
    net.kill(name)
    if not net.run(60 * SECOND, lambda: net.all_see({name}, MemberState.FAILED)):
        raise click.ClickException(f"{name} was not seen as gone by all within a minute")
    first = min(t for t, _, about, _, now in net.state_changes if about == name and now == "gone")
    return (first - began) / SECOND, (net.now - began) / SECOND


def settle(net: SimulatedNetwork) -> float:
    """Seconds until all see just those alive that run; infinite where they do not within two minutes."""
    began = net.now
    if not net.run(120 * SECOND, net.is_settled):
        return float("inf")
    return (net.now - began) / SECOND


def wrong(net: SimulatedNetwork, dead: set[str]) -> int:
    """How many living members were called gone by somebody."""
    return sum(now == "gone" and about not in dead for _, _, about, _, now in net.state_changes)


def measure(size: int, loss: float, crashes: int, seed: int, hours: float) -> Row:
    """One row of the table."""
    net = settled_network(size, seed, loss)
    rng = Random(seed)
    net.run(60 * SECOND)  # what the start had to tell has gone round
    for process in net.processes.values():
        process.messages = process.octets = 0
    net.state_changes.clear()
    quiet, cpu = max(60.0, hours * 3600), time.process_time()
    net.run(round(quiet * SECOND))
    cpu = (time.process_time() - cpu) / quiet / size
    false = wrong(net, set())
    datagrams = sum(p.messages for p in net.processes.values()) / size / quiet
    octets = sum(p.octets for p in net.processes.values()) / size / quiet
    firsts, alls = list[float](), list[float]()
    seeds = (("host-f0", 1), ("host-f1", 1))
    for _ in range(crashes):
        name = f"f{rng.randrange(2, size)}"
        first, all_ = crash(net, name)
        firsts.append(first)
        alls.append(all_)
        false += wrong(net, {name})
        net.add(name, seeds)
        net.run(5 * SECOND)
    net.run(10 * SECOND)
    victims = set(rng.sample([f"f{i}" for i in range(2, size)], max(1, round(0.7 * size) - 1)))
    net.state_changes.clear()
    for name in victims:
        net.kill(name)
    mass = settle(net)
    false += wrong(net, victims)
    net.run(5 * SECOND)
    net.state_changes.clear()
    for name in sorted(victims):
        net.add(name, seeds)
    back = settle(net)
    net.run(10 * SECOND)
    half = {f"f{i}" for i in range(size // 2)}
    net.state_changes.clear()
    net.cut = lambda one, other: (one in half) != (other in half)
    net.run(40 * SECOND)
    net.cut = lambda _one, _other: False
    heal = settle(net)
    false += sum(
        now == "gone" and (who in half) == (about in half) for _, who, about, _, now in net.state_changes
    )
    join = settled_network(size, seed + 1, loss)
    joined = (join.now - 500 * MS) / SECOND
    return Row(
        size, loss, firsts, alls, false, quiet / 3600, joined, mass, back, heal, datagrams, octets, cpu
    )


def heartbeat(size: int, loss: float, crashes: int, seed: int) -> str:
    """The plain way: each tells all others that it lives, every second; one that is not heard five times is gone."""
    rng, firsts, alls = Random(seed), list[float](), list[float]()
    for _ in range(crashes):
        died, seen = rng.random(), list[float]()
        for _other in range(size - 1):
            phase, last = rng.random(), 0.0
            for k in range(13):  # the last beat before the death that arrived
                if phase - k <= died and rng.random() >= loss:
                    last = phase - k
                    break
            seen.append(last + MISSED * BEAT / SECOND - died)
        firsts.append(min(seen))
        alls.append(max(seen))
    octets = (size - 1) * HEADER_BYTES * SECOND / BEAT
    wrong = f"{loss**MISSED * size * (size - 1) * 3600:.0f} an hour, reckoned"
    beats = (size - 1) * SECOND / BEAT
    return cells(size, f"{loss:.0%}", spread(firsts), spread(alls), wrong, "", "", "", "", f"{beats:.0f}",
                 f"{octets / 1e3:.1f}", "")  # fmt: skip


COLUMNS = ("fronts", "loss", "crash known to the first, s (p50, p99, most)", "to all", "living called gone", "join",
           "70% killed", "all back", "heal", "datagrams/s", "kB/s", "ms of a core a s")  # fmt: skip
HEAD = cells(*COLUMNS) + "\n" + cells(*["---"] * len(COLUMNS))


def plot(rows: list[Row], file: Path) -> None:
    """Settling times over size; needs matplotlib, which serving does not."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots()
    for loss in sorted({r.loss for r in rows}):
        mine = [r for r in rows if r.loss == loss]
        axes.plot(
            [r.size for r in mine],
            [at(r.all_, 0.99) for r in mine],
            marker="o",
            label=f"crash, p99, loss {loss:.0%}",
        )
        axes.plot(
            [r.size for r in mine],
            [r.mass for r in mine],
            marker="s",
            ls="--",
            label=f"70% killed, loss {loss:.0%}",
        )
        axes.plot(
            [r.size for r in mine], [r.heal for r in mine], marker="^", ls=":", label=f"heal, loss {loss:.0%}"
        )
    axes.set_xscale("log")
    axes.set_xlabel("fronts")
    axes.set_ylabel("seconds until all agree (simulated)")
    axes.legend()
    figure.savefig(file)


@click.command()
@click.option("--sizes", default="5,50,200")
@click.option("--losses", default="0,0.05,0.2")
@click.option("--crashes", default=20, help="In each row.")
@click.option("--seed", default=1)
@click.option("--hours", default=0.0, help="Simulated, quiet, in each row; a minute at least.")
@click.option("--plot", "file", type=click.Path(path_type=Path), help="Draw into this file (matplotlib).")
def main(sizes: str, losses: str, crashes: int, seed: int, hours: float, file: Path | None) -> None:
    """Prints the table."""
    click.echo(HEAD)
    rows = []
    for size in map(int, sizes.split(",")):
        for loss in map(float, losses.split(",")):
            rows.append(measure(size, loss, crashes, seed, hours))
            click.echo(rows[-1].show())
    click.echo("\nPlain heartbeat, every second from all to all, gone after five:\n\n" + HEAD)
    for size in map(int, sizes.split(",")):
        for loss in map(float, losses.split(",")):
            click.echo(heartbeat(size, loss, crashes, seed))
    if file is not None:
        plot(rows, file)


if __name__ == "__main__":
    main()
