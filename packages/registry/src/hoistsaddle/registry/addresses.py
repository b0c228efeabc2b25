"""Addresses of core machines: a replica's number is its IPv4 address as a number, so its addresses follow from it.

A voter's replica number alone is therefore enough to reach it.
"""

import ipaddress
from collections.abc import Iterable
from typing import Any

# The number of IPv4 addresses.
IPV4_NUMBERS = 2**32


def number_of_host(host: str) -> int:
    """The replica number of the machine with this IPv4 address."""
    return int(ipaddress.IPv4Address(host))


def host_of_number(number: int) -> str:
    """The IPv4 address of the machine with this replica number."""
    return str(ipaddress.IPv4Address(number))


class ReplicaAddresses(dict[int, str]):
    """Maps replica numbers to addresses at one port; any IPv4 number has one, iteration covers the known numbers."""

    def __init__(self, *, port: int, hosts: Iterable[str]) -> None:
        """Starts with the numbers of these hosts."""
        super().__init__()
        self.port = port
        for host in hosts:
            self.learn(number_of_host(host))

    def learn(self, number: int) -> None:
        """Adds this replica to the known ones."""
        self.setdefault(number, f"{host_of_number(number)}:{self.port}")

    def __missing__(self, number: int) -> str:
        self.learn(number)
        return self[number]

    def get(self, number: int, default: Any = None) -> Any:
        """The address of this replica, or the default if the number is not an IPv4 address."""
        return self[number] if 0 < number < IPV4_NUMBERS else default
