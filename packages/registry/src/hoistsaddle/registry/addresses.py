"""Core machines by number: a replica's number is its IP number, so that its addresses follow from it.

Nobody has to be told where a core machine is once its number stands among the voters.
"""

import ipaddress
from collections.abc import Iterable


def number_of_host(host: str) -> int:
    return int(ipaddress.IPv4Address(host))


def host_of_number(number: int) -> str:
    return str(ipaddress.IPv4Address(number))


class ReplicaAddresses(dict[int, str]):
    """Replica to address at one port; any IP number has one, the known ones are listed."""

    def __init__(self, *, port: int, hosts: Iterable[str]) -> None:
        super().__init__()
        self.port = port
        for host in hosts:
            self.learn(number_of_host(host))

    def learn(self, number: int) -> None:
        self.setdefault(number, f"{host_of_number(number)}:{self.port}")

    def __missing__(self, number: int) -> str:
        self.learn(number)
        return self[number]

    def get(self, number, default=None):
        return self[number] if 0 < number < 2**32 else default
