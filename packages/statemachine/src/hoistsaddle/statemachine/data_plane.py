"""What the data plane has to know of the state: a flat map of keys to values, each with the offset of its last change.

Copies of it are compared by digests (see digests.py) and read by view.py.
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
# The name in the keys of what there is once in a mesh.
MESH = "mesh"


def data_plane_items(state: State) -> dict[str, tuple[int, bytes]]:
    """Key to (offset of its last change, encoded value).

    Within a kind keys come in the order of names: a map's own order depends on the process, and every copy has to list
    servers alike.
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
        # Only the log needs a dropped item's revision; for the data plane the item is missing.
        if not item.dropped:
            items[f"{ITEM}:{key}"] = (item.offset, encode([item.revision, item.body]))
    if state.level > 1:
        items[f"{LEVEL}:{MESH}"] = (state.level_offset, encode([state.level]))
    if state.purge_offset:
        # Not read by anyone; it tells up to which purge a copy is informed.
        items[f"{PURGED}:{MESH}"] = (state.purge_offset, encode([state.purge_offset]))
    return items
