"""Messages that carry the configuration down the distribution tree, and what nodes have applied back up."""

from datetime import timedelta
from typing import NamedTuple


class AppliedVersion(NamedTuple):
    """The revision and bundle that a node has applied, and why it refused one."""

    node: str
    revision: int
    bundle: int
    refusal: str
    incarnation: str
    refused_bundle: int


class ConfigurationItem(NamedTuple):
    """One item of the configuration, and the revision that set it."""

    key: str
    revision: int
    value: bytes


class PollCall(NamedTuple):
    """A node asks for the configuration above its own revision; the answer may wait for one (long poll)."""

    node: str
    incarnation: str
    mesh: str
    revision: int
    digests: tuple[int, ...]
    applied_versions: tuple[AppliedVersion, ...]
    # Whether the answer may hold the changes since `revision` alone, and its items in one block. A former release knows
    # neither.
    takes_changes: bool = False
    takes_block: bool = False


class PollAnswer(NamedTuple):
    """A configuration, or the parts of it that differ from the caller's."""

    error: str
    mesh: str
    revision: int
    # How old the configuration was when this was made.
    lease_age: timedelta
    ranges: tuple[int, ...] = ()
    items: tuple[ConfigurationItem, ...] = ()
    expected_digests: tuple[int, ...] = ()
    # Under which leader's epoch the configuration was confirmed; 0 from a former release.
    epoch: int = 0
    # The items are what was set since the caller's revision, and `removed` what was removed since; no range is
    # complete.
    only_changes: bool = False
    removed: tuple[str, ...] = ()
    # The items, compressed, for a caller that takes them so.
    block: bytes = b""


class AppliedVersionsCall(NamedTuple):
    """Ask what all nodes below have applied."""

    caller: str


class AppliedVersionsAnswer(NamedTuple):
    """What they have applied, and the lowest release level among them."""

    applied_versions: tuple[AppliedVersion, ...]
    level: int = 1
