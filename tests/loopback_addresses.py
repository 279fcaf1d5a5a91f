"""Addresses on loopback that only one process listens on, known before it starts.

A port that the kernel gave to a probe socket is free for others once the probe is closed: until the process under test
binds it, any outgoing connection on the machine may get it as its local port. These addresses rule that out. Outgoing
connections on loopback take 127.0.0.1 as their local address, and the ports lie below the range from which the kernel
gives ports to sockets that are not bound to one host.
"""

from __future__ import annotations

import os
from itertools import count

Address = tuple[str, int]

FIRST_PORT = 10_000
FIRST_SECOND_OCTET = 128
HOSTS_PER_PROCESS = 127  # second octets 128 to 254, without the broadcast address 127.255.255.255
MAX_PROCESS_ID_BITS = 22  # Linux's upper limit of process ids
HOST_PROCESS_ID_BITS = 16  # in the last two octets; the port holds the others

_address_indexes = count()


def loopback_address(process_id: int, index: int) -> Address:
    """Returns a process's address of an index; no two pairs of process id and index have the same address.

    The hosts of `HOSTS_PER_PROCESS` successive indexes differ.
    """
    port_index, host_index = divmod(index, HOSTS_PER_PROCESS)
    third_octet, fourth_octet = (process_id >> 8) & 0xFF, process_id & 0xFF
    ports_per_index = 1 << (MAX_PROCESS_ID_BITS - HOST_PROCESS_ID_BITS)
    return (
        f"127.{FIRST_SECOND_OCTET + host_index}.{third_octet}.{fourth_octet}",
        FIRST_PORT + port_index * ports_per_index + (process_id >> HOST_PROCESS_ID_BITS),
    )


def next_loopback_address() -> Address:
    """Returns an address that neither this test process nor another one on the machine has taken."""
    return loopback_address(os.getpid(), next(_address_indexes))
