"""The distribution tree, through which every proxy gets configuration updates; its roots are the core registries."""

# The number of children of a parent.
FAN_OUT = 2


def select_parents(
    *,
    node: str,
    proxies: list[tuple[str, str]],
    roots: list[tuple[str, str]],
    fan_out: int = FAN_OUT,
    root_fan_out: int = 0,
) -> list[str]:
    """The addresses that a node polls, best first: its parent in the tree, then the roots in case the parent fails.

    Every node computes the tree from the members that it knows, so no coordinator is needed. Nodes that know different
    members may form a cycle for a while. No lease is renewed within a cycle, so the leases expire and its nodes fall
    back to the roots.

    Args:
        node: The node's name.
        proxies: Name and address of each proxy.
        roots: Name and address of each root.
        fan_out: The number of children of each proxy.
        root_fan_out: The number of children of each root; 0 for the same as `fan_out`.
    """
    roots = sorted(roots)
    sorted_proxies = sorted(proxies)
    names = [name for name, _ in sorted_proxies]
    parents: list[str] = []
    if node in names and roots:
        position = names.index(node)
        root_children = len(roots) * (root_fan_out or fan_out)
        if position < root_children:
            parents.append(roots[position % len(roots)][1])
        else:
            parents.append(sorted_proxies[(position - root_children) // fan_out][1])
        # Each node starts with a different root, so that the roots share the load when a parent fails.
        first_root = position % len(roots)
        roots = roots[first_root:] + roots[:first_root]
    parents += [address for _, address in roots]
    return list(dict.fromkeys(parents))
