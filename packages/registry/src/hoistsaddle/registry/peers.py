"""Calls from one registry to the others."""

import asyncio
from datetime import timedelta

from hoistsaddle.rpc.runtime import Runtime


class PeerRegistries:
    """The registries of a mesh by replica number, for calls from one of them to the others."""

    def __init__(self, *, addresses: dict[int, str], own_address: str, runtime: Runtime) -> None:
        """Calls the registries in `addresses`; entries may be added as replicas become known."""
        self.addresses = addresses
        self.own_address = own_address
        self.runtime = runtime

    def address_of(self, node: str) -> str:
        """The address of a registry by its node name, which ends in its replica number; empty if it is not known."""
        return self.addresses.get(int(node.rpartition("-")[2]), "")

    def others(self) -> list[str]:
        """The addresses of all registries but this one."""
        return [address for address in self.addresses.values() if address != self.own_address]

    async def call_others(self, message: tuple, *, within: timedelta) -> list[tuple | None]:
        """Each other registry's answer, in the order of the addresses; None for one that doesn't answer in time."""
        calls = [self.runtime.rpc_client.call(address, message, within=within) for address in self.others()]
        return [answer.value_or(None) for answer in await asyncio.gather(*calls)]
