"""The tree along which configuration updates reach every proxy: its roots are the core machines' registries."""

# Children that a parent feeds.
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

    Every node computes the tree from the members that it knows, so nobody has to assign places. Nodes that know
    different members may form a ring for a while; its leases only grow older, so they expire and its nodes turn to the
    roots.

    Args:
        node: The node's name.
        proxies: Name and address of each proxy.
        roots: Name and address of each root.
        fan_out: Children that each parent feeds.
        root_fan_out: Children that each root feeds; 0 for as many as any other parent.
    """
    roots = sorted(roots)
    order = sorted(proxies)
    names = [name for name, _ in order]
    parents: list[str] = []
    if node in names and roots:
        place = names.index(node)
        direct = len(roots) * (root_fan_out or fan_out)
        if place < direct:
            parents.append(roots[place % len(roots)][1])
        else:
            parents.append(order[(place - direct) // fan_out][1])
        # Each node begins with another root, so that they share the load when a parent fails.
        turn = place % len(roots)
        roots = roots[turn:] + roots[:turn]
    parents += [address for _, address in roots]
    return list(dict.fromkeys(parents))
