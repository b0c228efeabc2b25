"""Links of machines that carry so many bytes a second each way; packets queue in front of them in their order."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

# Bytes that go over a link at once: another sender's bytes come in between two packets.
PACKET_BYTES = 4096
# What a message costs beside its body: frame, headers, and packets of the transport.
MESSAGE_BYTES = 400
Arrived = Callable[[], None]


class _Packet(NamedTuple):
    octets: int
    arrived: Arrived


class _Direction:
    """One direction of a link."""

    def __init__(self, *, loop: asyncio.AbstractEventLoop, bytes_per_second: float) -> None:
        self._loop = loop
        self._bytes_per_second = bytes_per_second
        self._packets: deque[_Packet] = deque()

    def put(self, packet: _Packet) -> None:
        self._packets.append(packet)
        if len(self._packets) == 1:
            self._carry()

    def _carry(self) -> None:
        self._loop.call_later(self._packets[0].octets / self._bytes_per_second, self._carried)

    def _carried(self) -> None:
        packet = self._packets.popleft()
        if self._packets:
            self._carry()
        packet.arrived()


class Links:
    """The links of all machines that have one of their own, by host; other hosts' links carry everything at once."""

    def __init__(self, *, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._up: dict[str, _Direction] = {}
        self._down: dict[str, _Direction] = {}
        # The hosts of machines by name.
        self._hosts: dict[str, str] = {}

    def add(self, name: str, host: str, *, bytes_per_second: float) -> None:
        """Give a machine a link that carries so many bytes a second each way; 0 for one without limit."""
        self._hosts[name] = host
        if bytes_per_second and host not in self._up:
            self._up[host] = _Direction(loop=self._loop, bytes_per_second=bytes_per_second)
            self._down[host] = _Direction(loop=self._loop, bytes_per_second=bytes_per_second)

    @property
    def limited(self) -> bool:
        """Whether any machine has a link of its own."""
        return bool(self._up)

    def host_of(self, name: str) -> str:
        """Return the host of a machine; empty if it has no link of its own."""
        return self._hosts.get(name, "")

    def send(self, *, sender: str, receiver: str, octets: int, arrived: Arrived, rate: int = 0) -> None:
        """Carry bytes from one host to another.

        Args:
            sender: the host they leave; empty for one whose link has no limit.
            receiver: the host they go to; empty for one whose link has no limit.
            octets: how many there are.
            arrived: called once the last of them is there.
            rate: bytes a second at which the sender writes them; 0 for all at once.
        """
        up, down = self._up.get(sender), self._down.get(receiver)
        if sender == receiver or (up is None and down is None):
            arrived()
            return
        total = octets + MESSAGE_BYTES
        for first in range(0, total, PACKET_BYTES):
            size = min(PACKET_BYTES, total - first)
            last = first + size == total
            packet = _Packet(size, arrived if last else _nothing)
            if rate:
                self._loop.call_later((first + size) / rate, self._send_packet, up, down, packet)
            else:
                self._send_packet(up, down, packet)

    @staticmethod
    def _send_packet(up: _Direction | None, down: _Direction | None, packet: _Packet) -> None:
        if up is None and down is not None:
            down.put(packet)
        elif up is not None and down is None:
            up.put(packet)
        elif up is not None and down is not None:
            up.put(_Packet(packet.octets, lambda: down.put(packet)))


def _nothing() -> None:
    """What follows a packet that is not the last of its message."""
