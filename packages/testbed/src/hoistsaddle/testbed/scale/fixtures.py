"""Parts of a mesh for measurements without sockets: views, relays, and messages after a connection.

Proxies are numbered; names and incarnations follow from the number.
"""

from datetime import timedelta
from typing import Any

from hoistsaddle.common.clock import ZERO
from hoistsaddle.membership.relay import Relay
from hoistsaddle.rpc.codec import pack, unpack
from hoistsaddle.rpc.messages import AppliedVersion
from hoistsaddle.statemachine.digests import digests_of
from hoistsaddle.statemachine.view import View, read_view
from hoistsaddle.testbed.scale.sizes import (
    proxy_name,
)

MESH = "0123456789abcdef"
# The size of the length field at the start of a frame.
LENGTH_BYTES = 4


# The data plane's configuration: revisions and packed values by key.
Items = dict[str, tuple[int, bytes]]


def view_of(items: Items, *, before: View = View()) -> View:  # noqa: B008
    """The view that proxy 0 reads of these items."""
    return read_view(revision=2, items=items, node=proxy_name(0), zone="zone-1", before=before)


def applied_version(number: int) -> AppliedVersion:
    """A proxy's report of the configuration that it applied."""
    return AppliedVersion(proxy_name(number), 10**6, 0, "", f"{number:012x}", 0)


def make_relay(items: Items, *, node: int = 0, revision: int = 1) -> Relay:
    """A relay with a confirmed copy of these items."""
    relay = Relay(node=proxy_name(node), incarnation=f"{node:012x}", lease_span=timedelta(seconds=1.5))
    relay.accept_read(asked=ZERO, mesh=MESH, revision=revision, items=items, expected_digests=digests_of(items))
    return relay


def over_connection(message: tuple, *, answer: bool) -> Any:
    """A message as its receiver reads it: packed and unpacked again."""
    return unpack(pack(number=1, answer=answer, message=message))[2]


def frame_size(message: tuple) -> int:
    """The bytes of a message's frame on a connection."""
    return len(pack(number=1, answer=True, message=message)) + LENGTH_BYTES
