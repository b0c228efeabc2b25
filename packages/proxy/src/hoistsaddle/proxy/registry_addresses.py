"""Addresses of the registries, in the order in which they are tried."""


class RegistryAddresses:
    """The seeds, until a configuration names the registries. The registry that is expected to answer is tried first."""

    def __init__(self, *, seeds: list[str]) -> None:
        self._seeds = list(seeds)
        self.addresses = list(seeds)

    @property
    def first(self) -> str:
        """Return the address that is tried first."""
        return self.addresses[0]

    def update(self, known: list[str]) -> None:
        """Use the addresses that a configuration names, keeping the order of those already known."""
        kept = [each for each in self.addresses if each in known]
        added = [each for each in known if each not in self.addresses]
        self.addresses = kept + added or list(self._seeds)

    def demote(self, address: str) -> None:
        """Move this address to the end, if it is still the first."""
        if self.first == address:
            self.addresses = [*self.addresses[1:], address]

    def promote(self, address: str) -> None:
        """Move this address to the front, if it is known."""
        if address in self.addresses and self.first != address:
            self.addresses = [address, *(each for each in self.addresses if each != address)]
