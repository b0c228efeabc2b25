"""Core machines by number: a replica's number is its IP number, so that its addresses follow from it.

Nobody has to be told where a core machine is once its number stands among the voters.
"""

import ipaddress
from collections.abc import Iterable
from typing import Any

# One more than the largest IPv4 number.
IPV4_NUMBERS = 2**32


def number_of_host(host: str) -> int:
    """The replica number of the machine with this IPv4 address."""
    return int(ipaddress.IPv4Address(host))


def host_of_number(number: int) -> str:
    """The IPv4 address of the machine with this replica number."""
    return str(ipaddress.IPv4Address(number))


class ReplicaAddresses(dict[int, str]):
    """Replica number to address at one port; any IPv4 number has one, iteration goes over the known ones."""

    def __init__(self, *, port: int, hosts: Iterable[str]) -> None:
        """Knows these hosts from the start."""
        super().__init__()
        self.port = port
        for host in hosts:
            self.learn(number_of_host(host))

    def learn(self, number: int) -> None:
        """Counts this replica among the known ones."""
        self.setdefault(number, f"{host_of_number(number)}:{self.port}")

    def __missing__(self, number: int) -> str:
        self.learn(number)
        return self[number]

    def get(self, number: int, default: Any = None) -> Any:
        """The address of this replica, or the default if the number is no IPv4 number."""
        return self[number] if 0 < number < IPV4_NUMBERS else default
