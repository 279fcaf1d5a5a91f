"""Media of an emulated node: RTP packets to the players of all its sessions."""

from __future__ import annotations

import trio

from oakcroft.interface import SECOND
from oakcroft.standins import rtp
from oakcroft.standins.node_state import NodeState, Session


async def send_media(node: NodeState) -> None:
    """Sends RTP to every player that receives it, at each tick of the media clock, until cancelled."""
    with trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM) as sock:
        while True:
            tick = rtp.media_tick(node.clock()) + 1
            await trio.sleep(max(0.0, (tick * rtp.PACKET_INTERVAL_NS - node.clock()) / SECOND))
            if node.faults.is_hung or node.faults.is_silent:
                continue
            for session in list(node.sessions.values()):
                await _send_packet(node, sock, session, tick)


async def _send_packet(node: NodeState, sock: trio.socket.SocketType, session: Session, tick: int) -> None:
    """Sends the next packet of a session; a session whose packets cannot be sent gets no more media."""
    stream = node.machine.streams.get(session.id)
    if session.media_address is None or stream is None:  # ended while packets were sent to others
        return
    packet = rtp.encode_packet(
        session.next_rtp_sequence, tick, rtp.ssrc(session.id), node.clock(), stream.rung
    )
    session.next_rtp_sequence += 1
    try:
        await sock.sendto(packet, session.media_address)
    except OSError:
        session.media_address = None
