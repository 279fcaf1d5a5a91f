"""Addresses of processes under test must not collide with ports that the kernel gives to other sockets."""

from __future__ import annotations

import socket
from ipaddress import ip_address

import pytest
from loopback_addresses import HOSTS_PER_PROCESS, loopback_address, next_loopback_address

FIRST_KERNEL_PORT = 32_768  # Linux's default start of the range of local ports
LAST_PROCESS_ID = (1 << 22) - 1


@pytest.mark.parametrize("kind", [socket.SOCK_STREAM, socket.SOCK_DGRAM])
def test_a_socket_on_127_0_0_1_with_the_same_port_does_not_collide(kind: socket.SocketKind) -> None:
    """An outgoing connection may have the port as its local port on 127.0.0.1 when the process binds its own."""
    host, _ = next_loopback_address()
    with socket.socket(socket.AF_INET, kind) as other, socket.socket(socket.AF_INET, kind) as own:
        other.bind(("127.0.0.1", 0))
        port = other.getsockname()[1]
        own.bind((host, port))
        assert own.getsockname() == (host, port)


def test_no_address_is_given_twice_and_none_has_a_port_that_the_kernel_gives() -> None:
    """Test processes that run at once have different addresses, for process ids that differ in any octet."""
    process_ids = (1, 2, 1 << 8, 1 << 16, (1 << 16) + 1, LAST_PROCESS_ID)
    indexes = range(5 * HOSTS_PER_PROCESS)
    addresses = [loopback_address(process_id, index) for process_id in process_ids for index in indexes]
    assert len(set(addresses)) == len(process_ids) * len(indexes)
    assert all(ip_address(host).is_loopback and host != "127.0.0.1" for host, _ in addresses)
    assert max(port for _, port in addresses) < FIRST_KERNEL_PORT
    assert next_loopback_address() != next_loopback_address()


def test_successive_addresses_have_different_hosts() -> None:
    """The emulated network between front ends identifies the peer of a stream by its host."""
    hosts = [loopback_address(LAST_PROCESS_ID, index)[0] for index in range(1, 1 + HOSTS_PER_PROCESS)]
    assert len(set(hosts)) == HOSTS_PER_PROCESS
