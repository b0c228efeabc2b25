"""The part of the state that the data plane needs: a flat map of keys to values with the offset of their last change.

Copies of the map are compared by digests (see digests.py) and decoded by view.py.
"""

import msgspec

from hoistsaddle.statemachine.state import State

# Kinds of key. A key is "kind:name"; the kinds are encoded.
BUNDLE = "bundle"
SERVER = "server"
NODE = "node"
SINGLETON_ROLE = "duty"
ITEM = "item"
LEVEL = "level"
PURGED = "purged"
# The name in the keys of values that exist once per mesh.
MESH = "mesh"


def data_plane_items(state: State) -> dict[str, tuple[int, bytes]]:
    """Returns the items of the data plane: key to (offset of its last change, encoded value).

    Within a kind, keys are sorted by name: the order of an immutable map depends on the process, but every copy must
    list servers in the same order.
    """
    items: dict[str, tuple[int, bytes]] = {}
    encode = msgspec.msgpack.encode
    for number in (state.in_force, state.rolling):
        if number:
            bundle = state.bundles[number]
            items[f"{BUNDLE}:{number}"] = (bundle.offset, encode([bundle.phase, bundle.stage, bundle.text]))
    for proxy, server in sorted(state.servers.items()):
        items[f"{SERVER}:{proxy}"] = (server.offset, encode(server))
    for name, node in sorted(state.nodes.items()):
        items[f"{NODE}:{name}"] = (node.offset, encode(node))
    for name, role in sorted(state.singleton_roles.items()):
        items[f"{SINGLETON_ROLE}:{name}"] = (role.offset, encode(role))
    for key, item in sorted(state.items.items()):
        # Only the log needs the revision of a dropped item; the data plane doesn't contain the item.
        if not item.dropped:
            items[f"{ITEM}:{key}"] = (item.offset, encode([item.revision, item.body]))
    if state.level > 1:
        items[f"{LEVEL}:{MESH}"] = (state.level_offset, encode([state.level]))
    if state.purge_offset:
        # No code decodes this item; it shows up to which purge a copy is current.
        items[f"{PURGED}:{MESH}"] = (state.purge_offset, encode([state.purge_offset]))
    return items
