"""Messages that carry the configuration down the distribution tree, and the applied versions back up."""

from datetime import timedelta
from typing import NamedTuple


class AppliedVersion(NamedTuple):
    """The revision and bundle that a node has applied, and the bundle that it rejected, if any, with the reason."""

    node: str
    revision: int
    bundle: int
    refusal: str
    incarnation: str
    refused_bundle: int


class ConfigurationItem(NamedTuple):
    """One configuration item, with the revision that set it."""

    key: str
    revision: int
    value: bytes


class PollCall(NamedTuple):
    """Requests updates after the node's own revision; the answer may be delayed until there is one (long poll)."""

    node: str
    incarnation: str
    mesh: str
    revision: int
    digests: tuple[int, ...]
    applied_versions: tuple[AppliedVersion, ...]
    # Whether the answer may contain only the changes since `revision`, and whether the items may be packed in a block.
    # A former release supports neither.
    takes_changes: bool = False
    takes_block: bool = False


class PollAnswer(NamedTuple):
    """The configuration, or the parts of it that differ from the caller's copy."""

    error: str
    mesh: str
    revision: int
    # The time since the leader confirmed the configuration, as of this answer.
    lease_age: timedelta
    ranges: tuple[int, ...] = ()
    items: tuple[ConfigurationItem, ...] = ()
    expected_digests: tuple[int, ...] = ()
    # The leader's epoch under which the configuration was confirmed; 0 from a former release.
    epoch: int = 0
    # Whether the items are only those set since the caller's revision and `removed` the keys removed since; otherwise
    # `ranges` are complete.
    only_changes: bool = False
    removed: tuple[str, ...] = ()
    # The items in compressed form, if the caller supports it (`takes_block`).
    block: bytes = b""


class AppliedVersionsCall(NamedTuple):
    """Requests the applied versions of all nodes below in the distribution tree."""

    caller: str


class AppliedVersionsAnswer(NamedTuple):
    """The applied versions of all nodes below, and the lowest release level among them."""

    applied_versions: tuple[AppliedVersion, ...]
    level: int = 1
