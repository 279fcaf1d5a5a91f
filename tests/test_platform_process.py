"""Front ends as processes of their own: start, descriptors, stop signals and the common cold pace."""

from __future__ import annotations

import os
import resource
import signal
import socket
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from functools import partial
from pathlib import Path
from typing import Any

import orjson
import pytest
import trio
from loopback_addresses import next_loopback_address
from platform_gates import setup_count
from platform_rig import FAILED, SETTINGS, A, PlatformRig, run_on_platform
from platform_stubs import StubViewer
from rig import wait_until

from oakcroft.interface import SECOND
from oakcroft.platform import serve
from oakcroft.platformwire import framing

CONFIGURATION_EXIT_CODE = 2


@asynccontextmanager
async def running_process(
    rig: PlatformRig, overrides: dict[str, Any], folder: Path, max_files: int = 0
) -> AsyncIterator[trio.Process]:
    """Runs the program as the platform starts it, with a limit of descriptors if given; kills it at the end."""
    rig.channel.port = rig.channel.port or await rig.listen(rig.channel.serve)
    for node in rig.nodes:
        node.port = node.port or await rig.listen(node.serve)
    rig.host, rig.port = next_loopback_address()
    config_file = folder / "config.json"
    config_file.write_bytes(
        orjson.dumps(rig.configuration() | {"listen": f"{rig.host}:{rig.port}"} | overrides)
    )
    limits = (
        partial(resource.setrlimit, resource.RLIMIT_NOFILE, (max_files, max_files)) if max_files else None
    )
    command = [sys.executable, "-m", "oakcroft", "platform"]
    env = {**os.environ, "PROXY_CONFIG": str(config_file)}
    running = await trio.lowlevel.open_process(command, env=env, stdout=subprocess.DEVNULL, preexec_fn=limits)
    try:
        yield running
    finally:
        if running.poll() is None:
            running.kill()
        await running.wait()


async def connect_when_listening(rig: PlatformRig) -> StubViewer:
    """Connects a viewer as soon as the front end listens."""
    while True:
        try:
            return await rig.viewer()
        except OSError:
            await trio.sleep(0.02)


def test_idle_clients_do_not_take_the_descriptors_of_the_channel_and_of_viewers(
    tmp_path: Path,
) -> None:
    """Idle connections must not take the descriptors of the command channel and of new viewers.

    Tested with the least limit that a configuration may give, as a limit of the process too.
    """

    async def test(rig: PlatformRig) -> None:
        configuration = {"limits": {"sockets": 64, "memory_mb": 64, "cores": 1.0}}
        async with running_process(rig, configuration, tmp_path, max_files=64) as running:
            await connect_when_listening(rig)
            rig.channel.is_silent = True
            rig.channel.polls.clear()
            await wait_until(lambda: rig.channel.polls)
            # Those that get no connection slot are closed, or wait in the kernel.
            idle = [await rig.viewer() for _ in range(200)]
            for client in idle[::2]:
                with suppress(trio.BrokenResourceError):
                    await client.stream.send_all(b"\x00\x20\x01")
            drain_cursor = 2
            rig.add_list_change(drain_cursor, rig.member(rig.nodes[0], "draining"))
            rig.channel.is_silent = False
            rig.channel.polls.clear()
            with trio.fail_after(3):
                viewer = await rig.viewer()
                await viewer.send_setup(A)
                assert (await viewer.receive() or (0,))[0] == framing.ANSWER
            await wait_until(lambda: drain_cursor in rig.channel.polls)
            for i in range(8):
                await viewer.send_setup(f"{i + 1:016x}", title=f"t{i}")
                assert (await viewer.receive() or (0,))[0] == framing.ANSWER
            assert running.poll() is None
            assert setup_count(rig, "0" * 15 + "8") == 1
            assert not rig.nodes[0].received_messages("open", "0" * 15 + "8")

    run_on_platform(test, started=False)


def test_a_process_starts_while_its_port_is_taken_on_127_0_0_1(tmp_path: Path) -> None:
    """An outgoing connection of another process may take the port on 127.0.0.1 before this process listens."""

    async def test(rig: PlatformRig) -> None:
        async with running_process(rig, {}, tmp_path) as running:
            with socket.socket() as other:
                with suppress(OSError):  # another test run on the machine holds the port there already
                    other.bind(("127.0.0.1", rig.port))
                    other.listen()
                viewer = await connect_when_listening(rig)
                await viewer.send_setup(A)
                assert (await viewer.receive() or (0,))[0] == framing.ANSWER
                assert running.poll() is None

    run_on_platform(test, started=False)


@pytest.mark.parametrize("when", ["before the list", "serving", "twice", "with a reload"])
def test_a_process_exits_in_order_on_a_stop_signal(when: str, tmp_path: Path) -> None:
    """The process answers what is open and exits with code 0."""

    async def test(rig: PlatformRig) -> None:
        rig.channel.is_silent = when == "before the list"
        async with running_process(rig, {}, tmp_path) as running:
            if rig.channel.is_silent:
                await wait_until(lambda: rig.channel.polls)
            else:
                for node in rig.nodes:
                    node.script = ["silence"]
                viewer = await connect_when_listening(rig)
                await viewer.send_setup(A, "paid")
                await wait_until(lambda: setup_count(rig))
            if when == "with a reload":
                running.send_signal(signal.SIGHUP)
            running.send_signal(signal.SIGTERM)
            if when == "with a reload":
                running.send_signal(signal.SIGHUP)
            if when == "twice":
                running.send_signal(signal.SIGTERM)
            if not rig.channel.is_silent:
                assert (await viewer.receive() or ())[:3] == (framing.RELEASE, A, FAILED)
            with trio.fail_after(serve.ACCEPT_AFTER_STOP_NS / SECOND + 2):  # soon after the last answer
                assert await running.wait() == 0

    run_on_platform(test, started=False)


def test_thirty_front_ends_keep_the_common_cold_pace_across_restarts(
    tmp_path: Path,
) -> None:
    """Thirty processes with their own clocks and lists keep the common pace of set-ups to cold nodes.

    All nodes count as cold, since no front end has a report of them, and a third of the front ends restart.
    """
    window_s = 1.0
    capacity = 40
    cold_s = 6.0
    rules = SETTINGS["rules"] | {
        "coldMs": 1000 * cold_s,
        "fallMultiple": 4.0,
        "overloadForMs": 1000 * window_s,
    }
    setup_budget = 4.0 * SETTINGS["rules"]["coldShare"] * capacity / cold_s * window_s
    info = SETTINGS["familyInfo"] | {"kindSlots": [capacity]}

    async def front(rig: PlatformRig, index: int, process_count: int) -> None:
        """Runs one front end and its viewer, which requests again as soon as it is answered or rejected."""
        own_rig = PlatformRig(rig.nursery)
        own_rig.nodes, own_rig.channel = rig.nodes, rig.channel
        settings = SETTINGS | {"balancers": 30, "me": index, "rules": rules, "familyInfo": info}
        for process_number in range(process_count):
            (tmp_path / f"{index}").mkdir(exist_ok=True)
            async with running_process(own_rig, {"settings": settings}, tmp_path / f"{index}"):
                viewer = await connect_when_listening(own_rig)
                with trio.move_on_after(4 / process_count):
                    for i in range(1_000):
                        await viewer.send_setup(f"{index:04x}{process_number:04x}{i:08x}", title=f"t{i % 7}")
                        await viewer.receive(10)
                        await trio.sleep(0.1)

    async def test(rig: PlatformRig) -> None:
        rig.channel.port = await rig.listen(rig.channel.serve)
        for node in rig.nodes:
            node.port = await rig.listen(node.serve)
        async with trio.open_nursery() as nursery:
            for index in range(30):
                nursery.start_soon(front, rig, index, 2 if index % 3 == 0 else 1)
        for node in rig.nodes:
            times = [f["t"] / SECOND for f in rig.facts if f["kind"] == "setup" and f["node"] == node.name]
            fullest_window = max(
                sum(1 for sent_at in times if last - window_s < sent_at <= last) for last in times
            )
            assert fullest_window <= setup_budget + 2 * setup_budget**0.5 + 2
            assert len(times) > setup_budget / 2  # a front end that sends nothing would keep any pace

    run_on_platform(test, started=False, within=90)


def test_a_start_without_a_valid_configuration_exits_with_a_one_line_error(tmp_path: Path) -> None:
    """The process exits with code 2 and one line on standard error."""
    file = tmp_path / "config.json"
    file.write_text('{"name": "n0"}')
    for name, message in (
        ("", "PROXY_CONFIG is not set"),
        (str(file), "listen"),
        (str(tmp_path / "none"), "none"),
    ):
        done = subprocess.run(
            [sys.executable, "-m", "oakcroft", "platform"], capture_output=True, text=True, check=False,
            env={**os.environ, "PROXY_CONFIG": name},
        )  # fmt: skip
        assert done.returncode == CONFIGURATION_EXIT_CODE
        assert len(done.stderr.splitlines()) == 1
        assert message in done.stderr


def test_the_platform_imports_no_unneeded_packages() -> None:
    """The platform's process does not import packages that only other commands use."""
    code = "import sys, oakcroft.platform.serve; print(*sorted(m for m in sys.modules))"
    loaded = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    ).stdout.split()
    for part in (
        "apsw",
        "lark",
        "click",
        "wsproto",
        "hdrh",
        "oakcroft.config",
        "oakcroft.store",
        "oakcroft.front",
    ):
        assert part not in loaded
