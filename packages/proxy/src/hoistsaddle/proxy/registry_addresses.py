"""Addresses of the registries, in the order in which they are tried."""


class RegistryAddresses:
    """The seeds until a configuration names the registries; the one that is tried first is the best known."""

    def __init__(self, *, seeds: list[str]) -> None:
        self._seeds = list(seeds)
        self.addresses = list(seeds)

    @property
    def first(self) -> str:
        """Return the address that is tried first."""
        return self.addresses[0]

    def update(self, known: list[str]) -> None:
        """Take the addresses that a configuration names, keeping the order of those that were known."""
        kept = [each for each in self.addresses if each in known]
        added = [each for each in known if each not in self.addresses]
        self.addresses = kept + added or list(self._seeds)

    def demote(self, address: str) -> None:
        """Try this address last, if it is the first still."""
        if self.first == address:
            self.addresses = [*self.addresses[1:], address]

    def promote(self, address: str) -> None:
        """Try this address first, if it is known."""
        if address in self.addresses and self.first != address:
            self.addresses = [address, *(each for each in self.addresses if each != address)]
