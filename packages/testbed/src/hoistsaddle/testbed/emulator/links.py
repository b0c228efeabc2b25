"""Links with a limited bandwidth in each direction; packets queue in front of them in FIFO order."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

# Maximum bytes per packet; packets of several senders interleave on a link.
PACKET_BYTES = 4096
# Bytes of a message beyond its body: frame, headers and transport overhead.
MESSAGE_BYTES = 400
ArrivalCallback = Callable[[], None]


class _Packet(NamedTuple):
    octets: int
    arrived: ArrivalCallback


class _Direction:
    """One direction of a link."""

    def __init__(self, *, loop: asyncio.AbstractEventLoop, bytes_per_second: float) -> None:
        self._loop = loop
        self._bytes_per_second = bytes_per_second
        self._packets: deque[_Packet] = deque()

    def put(self, packet: _Packet) -> None:
        self._packets.append(packet)
        if len(self._packets) == 1:
            self._transmit()

    def _transmit(self) -> None:
        self._loop.call_later(self._packets[0].octets / self._bytes_per_second, self._transmitted)

    def _transmitted(self) -> None:
        packet = self._packets.popleft()
        if self._packets:
            self._transmit()
        packet.arrived()


class Links:
    """The limited links, by host; all other hosts have unlimited bandwidth."""

    def __init__(self, *, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._up: dict[str, _Direction] = {}
        self._down: dict[str, _Direction] = {}
        # The hosts of machines by name.
        self._hosts: dict[str, str] = {}

    def add(self, name: str, host: str, *, bytes_per_second: float) -> None:
        """Adds a machine whose link has this bandwidth in each direction; 0 means unlimited."""
        self._hosts[name] = host
        if bytes_per_second and host not in self._up:
            self._up[host] = _Direction(loop=self._loop, bytes_per_second=bytes_per_second)
            self._down[host] = _Direction(loop=self._loop, bytes_per_second=bytes_per_second)

    @property
    def limited(self) -> bool:
        """Whether any machine has a limited link."""
        return bool(self._up)

    def host_of(self, name: str) -> str:
        """The host of a machine; empty if the machine is unknown."""
        return self._hosts.get(name, "")

    def send(self, *, sender: str, receiver: str, octets: int, arrived: ArrivalCallback, rate: int = 0) -> None:
        """Sends bytes from one host to another.

        Args:
            sender: the sending host; empty for a host with unlimited bandwidth.
            receiver: the receiving host; empty for a host with unlimited bandwidth.
            octets: the number of bytes.
            arrived: called once the last byte has arrived.
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
            packet = _Packet(size, arrived if last else _ignore_arrival)
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


def _ignore_arrival() -> None:
    """Arrival callback of all packets of a message but the last."""
