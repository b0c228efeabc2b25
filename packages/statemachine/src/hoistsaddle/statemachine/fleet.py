"""Applies the commands of servers, nodes and singleton roles: reports, drain marks, role epochs, purges.

It also applies raised release levels.
"""

from immutables import Map

from hoistsaddle.common.clock import to_microseconds
from hoistsaddle.statemachine.commands import (
    GONE_RETENTION,
    AcquireSingletonRole,
    DrainServer,
    Outcome,
    Purge,
    RaiseLevel,
    RegisterNode,
    RegisterServer,
)
from hoistsaddle.statemachine.errors import ReleaseTooOld, ServerUnknown, StaleRoleEpoch, reject
from hoistsaddle.statemachine.state import (
    GONE,
    NODE_MONITOR_ROLE,
    NodeRecord,
    ServerRecord,
    SingletonRoleRecord,
    State,
)


def _reject_stale_epoch(state: State, epoch: int) -> Outcome | None:
    """Rejects a report of a node monitor that lost its role to another node; epoch 0 is a node's own report."""
    role = state.singleton_roles.get(NODE_MONITOR_ROLE)
    current = role.epoch if role is not None else 0
    if epoch and (role is None or epoch < current):
        return reject(
            StaleRoleEpoch(f"Duty {NODE_MONITOR_ROLE} is held under epoch {current}, not {epoch}.", field="duty_epoch")
        )
    return None


def register_server(state: State, command: RegisterServer, offset: int) -> tuple[State, Outcome]:
    """Applies a report about a server, unless a later report was applied before."""
    if (rejection := _reject_stale_epoch(state, command.role_epoch)) is not None:
        return state, rejection
    known = state.servers.get(command.proxy)
    if _is_outdated(state, command, known):
        return state, Outcome(
            detail={"old": True, "state": known.state if known else "", "serial": known.serial if known else 0}
        )
    # A drain mark applies to one instance of the server, and ends with it.
    drained_by = known.drained_by if known is not None and known.instance == command.instance else ""
    server = ServerRecord(
        command.proxy,
        command.service,
        command.instance,
        command.address,
        command.zone,
        command.state,
        command.serial,
        command.incarnation,
        drained_by,
        offset,
        _timestamp(state),
    )
    if known is not None and known._replace(offset=offset, serial=command.serial, changed=server.changed) == server:
        return state, Outcome(detail={"state": known.state, "serial": known.serial})
    state = state._replace(servers=state.servers.set(command.proxy, server), data_plane_revision=offset)
    return state, Outcome(detail={"state": command.state, "serial": command.serial})


def _is_outdated(state: State, command: RegisterServer, known: ServerRecord | None) -> bool:
    """Whether the state already holds newer information than a report about a server."""
    node = state.nodes.get(command.proxy)
    # The report is from an earlier incarnation of the proxy.
    if node is not None and node.incarnation != command.incarnation:
        return True
    if known is not None:
        if known.incarnation == command.incarnation and command.serial < known.serial:
            return True
        # The node monitor's "gone" refers to the last report that it saw; it doesn't apply after a later report.
        seen = (command.incarnation, command.serial)
        if command.role_epoch > 0 and (known.incarnation, known.serial) != seen:
            return True
    # A report must not restore a server that was purged after the configuration revision that its reporter had seen.
    return state.level > 1 and (node is None or (known is None and _predates_purge(state, command)))


def drain(state: State, command: DrainServer, offset: int) -> tuple[State, Outcome]:
    """Sets or clears the drain mark of a server."""
    known = state.servers.get(command.proxy)
    if known is None or known.state == GONE:
        return state, reject(ServerUnknown(f"No server is known beside {command.proxy}.", field="stall"))
    drained_by = command.operator if command.drain else ""
    server = known._replace(drained_by=drained_by, offset=offset, changed=_timestamp(state))
    state = state._replace(servers=state.servers.set(command.proxy, server), data_plane_revision=offset)
    return state, Outcome(detail={"stall": command.proxy, "instance": known.instance, "offset": offset})


def register_node(state: State, command: RegisterNode, offset: int) -> tuple[State, Outcome]:
    """Applies a report about a node, unless a later report was applied before."""
    if (rejection := _reject_stale_epoch(state, command.role_epoch)) is not None:
        return state, rejection
    known = state.nodes.get(command.node)
    # That an earlier incarnation is gone says nothing about the present one.
    if known is not None and command.state == GONE and known.incarnation != command.incarnation:
        return state, Outcome(detail={"old": True})
    if state.level > 1 and command.state != GONE and command.level < state.level:
        return state, reject(
            ReleaseTooOld(
                f"{command.node} supports release level {command.level}, the mesh is at {state.level}.", field="level"
            )
        )
    if state.level > 1 and _is_stale_report(state, command, known):
        return state, Outcome(detail={"old": True})
    node = NodeRecord(
        command.node,
        command.kind,
        command.address,
        command.zone,
        command.incarnation,
        command.state,
        offset,
        _timestamp(state),
    )
    if known is not None and known._replace(offset=offset, changed=node.changed) == node:
        return state, Outcome()
    return state._replace(nodes=state.nodes.set(command.node, node), data_plane_revision=offset), Outcome()


def _timestamp(state: State) -> int:
    # Not recorded below level 2, so that former releases build the same state.
    return to_microseconds(state.mesh_time) if state.level > 1 else 0


def _predates_purge(state: State, command: RegisterServer | RegisterNode) -> bool:
    return command.seen_revision < state.purge_offset


def _is_stale_report(state: State, command: RegisterNode, known: NodeRecord | None) -> bool:
    """Whether a report concerns a node that was purged since, or an incarnation that was superseded."""
    if known is None:
        return command.state == GONE or _predates_purge(state, command)
    return known.incarnation != command.incarnation and command.seen_revision < known.offset


def purge(state: State, command: Purge, offset: int) -> tuple[State, Outcome]:
    """Removes servers and nodes that have been gone for so long that no lease, hold or retry refers to them."""
    if (rejection := _reject_stale_epoch(state, command.role_epoch)) is not None:
        return state, rejection
    cutoff = to_microseconds(state.mesh_time - GONE_RETENTION)
    servers = [key for key, server in state.servers.items() if server.state == GONE and server.changed <= cutoff]
    nodes = [key for key, node in state.nodes.items() if node.state == GONE and node.changed <= cutoff]
    if not servers and not nodes:
        return state, Outcome(detail={"servers": [], "nodes": []})
    kept_servers, kept_nodes = state.servers.mutate(), state.nodes.mutate()
    for key in servers:
        del kept_servers[key]
    for key in nodes:
        del kept_nodes[key]
    state = state._replace(
        servers=kept_servers.finish(), nodes=kept_nodes.finish(), purge_offset=offset, data_plane_revision=offset
    )
    return state, Outcome(detail={"servers": sorted(servers), "nodes": sorted(nodes)})


def raise_level(state: State, command: RaiseLevel, offset: int) -> tuple[State, Outcome]:
    """Raises the release level; a level that is not higher changes nothing."""
    if command.level <= state.level:
        return state, Outcome(detail={"level": state.level})
    # Servers and nodes that are gone already count as gone from now on: below level 2 the time was not recorded.
    now = to_microseconds(state.mesh_time)
    servers = Map({key: server._replace(changed=now) for key, server in state.servers.items()})
    nodes = Map({key: node._replace(changed=now) for key, node in state.nodes.items()})
    state = state._replace(
        level=command.level, level_offset=offset, data_plane_revision=offset, servers=servers, nodes=nodes
    )
    return state, Outcome(detail={"level": command.level})


def acquire_singleton_role(state: State, command: AcquireSingletonRole, offset: int) -> tuple[State, Outcome]:
    """Grants a singleton role to a node that names the epoch after that of the last holder."""
    known = state.singleton_roles.get(command.role)
    epoch = known.epoch if known is not None else 0
    if command.epoch != epoch + 1:
        return state, reject(
            StaleRoleEpoch(
                f"Duty {command.role} is at epoch {epoch}.",
                remedy="Read the duty and ask again if it is still free.",
                field="epoch",
            )
        )
    role = SingletonRoleRecord(command.role, command.node, command.epoch, offset)
    roles = state.singleton_roles.set(command.role, role)
    return state._replace(singleton_roles=roles, data_plane_revision=offset), Outcome(detail={"epoch": command.epoch})
