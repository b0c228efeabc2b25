"""What the log makes of servers, nodes and duties: reports, marks, lives, and forgetting what is gone."""

from immutables import Map

from hoistsaddle.common.clock import to_microseconds
from hoistsaddle.common.errors import ErrorKind
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
from hoistsaddle.statemachine.state import (
    GONE,
    NODE_MONITOR_ROLE,
    NodeRecord,
    ServerRecord,
    SingletonRoleRecord,
    State,
    refuse,
)


def _reject_stale_epoch(state: State, duty: str, epoch: int) -> Outcome | None:
    entry = state.singleton_roles.get(duty)
    if epoch and (entry is None or epoch < entry.epoch):
        return refuse(
            ErrorKind.DUTY_EPOCH_OLD,
            f"Duty {duty} is held under epoch {entry.epoch if entry else 0}, not {epoch}.",
            "Another node has taken over: stop.",
            "duty_epoch",
        )
    return None


def register_server(state: State, command: RegisterServer, offset: int) -> tuple[State, Outcome]:
    if refused := _reject_stale_epoch(state, NODE_MONITOR_ROLE, command.duty_epoch):
        return state, refused
    known = state.servers.get(command.proxy)
    node = state.nodes.get(command.proxy)
    # A report from an earlier life of the proxy, or an earlier report of this life, must not undo a later one.
    former = node is not None and node.incarnation != command.incarnation
    earlier = known is not None and known.incarnation == command.incarnation and command.serial < known.serial
    # The warden's "gone" is about the very report it saw last; whatever came since is news to it.
    outdated = (
        command.duty_epoch > 0
        and known is not None
        and (known.incarnation, known.serial) != (command.incarnation, command.serial)
    )
    # What was forgotten can't be brought back by a report from before: its reporter hadn't seen the forgetting.
    forgotten = state.level > 1 and (node is None or (known is None and _predates_purge(state, command)))
    if former or earlier or outdated or forgotten:
        return state, Outcome(
            detail={"old": True, "state": known.state if known else "", "serial": known.serial if known else 0}
        )
    drained_by = known.drained_by if known is not None and known.instance == command.instance else ""
    entry = ServerRecord(
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
    if known is not None and known._replace(offset=offset, serial=command.serial, changed=entry.changed) == entry:
        return state, Outcome(detail={"state": known.state, "serial": known.serial})
    return state._replace(servers=state.servers.set(command.proxy, entry), data_plane_revision=offset), Outcome(
        detail={"state": command.state, "serial": command.serial}
    )


def drain(state: State, command: DrainServer, offset: int) -> tuple[State, Outcome]:
    known = state.servers.get(command.proxy)
    if known is None or known.state == GONE:
        return state, refuse(
            ErrorKind.NO_SERVER,
            f"No server is known beside {command.proxy}.",
            "Read the servers back and name one of them.",
            "stall",
        )
    drained_by = command.operator if command.drain else ""
    entry = known._replace(drained_by=drained_by, offset=offset, changed=_timestamp(state))
    return state._replace(servers=state.servers.set(command.proxy, entry), data_plane_revision=offset), Outcome(
        detail={"stall": command.proxy, "instance": known.instance, "offset": offset}
    )


def register_node(state: State, command: RegisterNode, offset: int) -> tuple[State, Outcome]:
    if refused := _reject_stale_epoch(state, NODE_MONITOR_ROLE, command.duty_epoch):
        return state, refused
    known = state.nodes.get(command.node)
    # "Gone" said of an earlier life says nothing of the present one.
    if known is not None and command.state == GONE and known.incarnation != command.incarnation:
        return state, Outcome(detail={"old": True})
    if state.level > 1 and command.state != GONE and command.level < state.level:
        return state, refuse(
            ErrorKind.RELEASE_OLD,
            f"{command.node} supports release level {command.level}, the mesh is at {state.level}.",
            "Install a release that supports the mesh's level.",
            "level",
        )
    if state.level > 1 and _is_stale_report(state, command, known):
        return state, Outcome(detail={"old": True})
    entry = NodeRecord(
        command.node,
        command.kind,
        command.address,
        command.zone,
        command.incarnation,
        command.state,
        offset,
        _timestamp(state),
    )
    if known is not None and known._replace(offset=offset, changed=entry.changed) == entry:
        return state, Outcome()
    return state._replace(nodes=state.nodes.set(command.node, entry), data_plane_revision=offset), Outcome()


def _timestamp(state: State) -> int:
    # Below level 2 nobody keeps it, so that former releases build the same state.
    return to_microseconds(state.mesh_time) if state.level > 1 else 0


def _predates_purge(state: State, command: RegisterServer | RegisterNode) -> bool:
    return command.seen < state.purge_offset


def _is_stale_report(state: State, command: RegisterNode, known: NodeRecord | None) -> bool:
    """A late report: of what was forgotten since, or of a life that another one has followed since."""
    if known is None:
        return command.state == GONE or _predates_purge(state, command)
    return known.incarnation != command.incarnation and command.seen < known.offset


def purge(state: State, command: Purge, offset: int) -> tuple[State, Outcome]:
    """Forgets what has been gone for so long that no lease, hold or memory of a send refers to it any more."""
    if refused := _reject_stale_epoch(state, NODE_MONITOR_ROLE, command.duty_epoch):
        return state, refused
    least = to_microseconds(state.mesh_time - GONE_RETENTION)
    servers = [key for key, entry in state.servers.items() if entry.state == GONE and entry.changed <= least]
    nodes = [key for key, entry in state.nodes.items() if entry.state == GONE and entry.changed <= least]
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
    if command.level <= state.level:
        return state, Outcome(detail={"level": state.level})
    # What is gone already counts as gone from now on: nothing is forgotten sooner for having been gone before.
    stamp = to_microseconds(state.mesh_time)
    servers = Map({key: entry._replace(changed=stamp) for key, entry in state.servers.items()})
    nodes = Map({key: entry._replace(changed=stamp) for key, entry in state.nodes.items()})
    state = state._replace(
        level=command.level, level_offset=offset, data_plane_revision=offset, servers=servers, nodes=nodes
    )
    return state, Outcome(detail={"level": command.level})


def acquire_singleton_role(state: State, command: AcquireSingletonRole, offset: int) -> tuple[State, Outcome]:
    known = state.singleton_roles.get(command.duty)
    epoch = known.epoch if known else 0
    if command.epoch != epoch + 1:
        return state, refuse(
            ErrorKind.DUTY_EPOCH_OLD,
            f"Duty {command.duty} is at epoch {epoch}.",
            "Read the duty and ask again if it is still free.",
            "epoch",
        )
    entry = SingletonRoleRecord(command.duty, command.node, command.epoch, offset)
    return state._replace(
        singleton_roles=state.singleton_roles.set(command.duty, entry), data_plane_revision=offset
    ), Outcome(detail={"epoch": command.epoch})
