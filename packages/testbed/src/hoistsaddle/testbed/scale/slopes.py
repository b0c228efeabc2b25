"""Costs of the control mechanisms by size, measured without sockets by direct calls of the cores.

Each slope varies one size and keeps the others fixed. Counts and bytes are the same in every run; processor time is
measured in several rounds and reported as their minimum (the cost of the work itself) and their maximum.
"""

import itertools
import tempfile
from collections.abc import Callable
from datetime import timedelta
from itertools import pairwise
from pathlib import Path
from typing import Any, NamedTuple

from hoistsaddle.common.clock import ZERO
from hoistsaddle.config.items import Patch, pack_patch
from hoistsaddle.membership.relay import Relay
from hoistsaddle.raft.disk import Disk
from hoistsaddle.raft.events import OffsetAndEpoch, Write
from hoistsaddle.rpc.codec import pack, unpack
from hoistsaddle.rpc.messages import (
    Record,
    WriteCall,
)
from hoistsaddle.statemachine.apply import apply
from hoistsaddle.statemachine.commands import ClaimKey, PatchItems, RegisterNode, RegisterServer, Tick
from hoistsaddle.statemachine.data_plane import data_plane_items
from hoistsaddle.statemachine.digests import digests_of
from hoistsaddle.statemachine.encoding import pack_command
from hoistsaddle.statemachine.snapshots import pack_state, unpack_state
from hoistsaddle.statemachine.state import GONE, READY, State
from hoistsaddle.testbed.scale.call_path import measure_call_path
from hoistsaddle.testbed.scale.configuration_costs import measure_configuration
from hoistsaddle.testbed.scale.fixtures import MESH, applied_version, frame_size, make_relay, over_connection, view_of
from hoistsaddle.testbed.scale.membership_costs import measure_membership, tree_of
from hoistsaddle.testbed.scale.meter import Measured, Meter, memory_of
from hoistsaddle.testbed.scale.request_costs import RequestPath, measure_request
from hoistsaddle.testbed.scale.sizes import (
    GOAL,
    HOST,
    Size,
    key_hold,
    make_state,
    node_record,
    prefix_of,
    proxy_name,
    route_item,
    server_record,
)

# How long a claimed key is held, in seconds of the mesh's clock.
KEY_SECONDS = 75
# Commands in one message to the leader.
WRITE_BATCH = 128
# Calls before the measurement: the first call of a server costs more.
WARM_UP_CALLS = 30


def nodes(meter: Meter, points: list[int]) -> None:
    """Measures the configuration, membership, one request and the tree by the number of nodes."""
    for point in points:
        size = GOAL._replace(nodes=point)
        measure_configuration(meter, point, size)
        measure_membership(meter, point, size)
        measure_request(meter, point, size._replace(services=min(GOAL.services, point)), times=50)
        for roots in (3, 7):
            depths = tree_of(size, roots=roots)
            meter.count(point, f"levels of the tree under {roots} roots", "", max(depths.values()))


def services(meter: Meter, points: list[int]) -> None:
    """Measures the configuration and one request by the number of services."""
    for point in points:
        size = GOAL._replace(services=point)
        measure_configuration(meter, point, size)
        measure_request(meter, point, size, times=50)


def routes(meter: Meter, points: list[int]) -> None:
    """Measures the configuration and the look-up of a route by the number of routes."""
    for point in points:
        size = GOAL._replace(routes=point)
        measure_configuration(meter, point, size)
        view = view_of(data_plane_items(make_state(size)))
        path = prefix_of(point - 1)
        meter.measure_time(
            point, "look up the last route", lambda: view.items.match_route(host=HOST, path=path), times=200
        )


def _claim(number: int) -> ClaimKey:
    scope, hold = key_hold(number)
    return ClaimKey(scope, hold.claim, hold.proxy, "", scope, "operation", scope, hold.route, KEY_SECONDS, "")


def keyed_claims(meter: Meter, points: list[int]) -> None:
    """Measures claims by their rate: applies one second of them to a state with the claims of the last 75 s."""
    for rate in points:
        state = make_state(GOAL._replace(holds=rate * KEY_SECONDS))
        payloads = [pack_command(_claim(10**6 + number)) for number in range(rate)]
        base = state._replace(mesh_time=timedelta(seconds=100), expired_at=timedelta(seconds=100))

        def apply_second() -> State:
            after = base
            for offset, payload in enumerate(payloads, start=2):
                after, _ = apply(after, offset=offset, epoch=1, stamp=timedelta(seconds=100), payload=payload)
            return after

        meter.measure_time(rate, "apply a second of claims (each core machine)", apply_second)
        tick = pack_command(Tick(1))
        meter.measure_time(
            rate,
            "the sweep that comes every 5 s",
            lambda: apply(base, offset=2, epoch=1, stamp=timedelta(seconds=106), payload=tick),
        )
        batches = [tuple(payloads[first : first + WRITE_BATCH]) for first in range(0, len(payloads), WRITE_BATCH)]
        meter.measure_time(
            rate,
            "pack and unpack a second of claims on one line",
            lambda: [unpack(pack(number=1, answer=False, message=WriteCall("bourse-1", batch))) for batch in batches],
        )
        meter.count(
            rate,
            "claims on one line in a second",
            "bytes",
            sum(frame_size(WriteCall("bourse-1", batch)) for batch in batches),
        )


def changes(meter: Meter, points: list[int]) -> None:
    """Measures an hour of changes by their rate, each of one route, one after the other."""
    size = GOAL
    for rate in points:
        states = _states_after(make_state(size), [_patch_of(size, number + 2) for number in range(rate)])
        versions = [data_plane_items(state) for state in (make_state(size), *states)]
        answers = []
        for revision, (before, after) in enumerate(pairwise(versions), start=1):
            call = make_relay(before, node=1, revision=revision).poll(own=applied_version(1), now=ZERO)
            answers.append(make_relay(after, revision=revision + 1).answer(call, now=ZERO))
        meter.measure_time(
            rate,
            "news packed and vouched for at one core machine",
            lambda states=states: [digests_of(data_plane_items(state)) for state in states],
        )
        # A copy can apply the changes only once, so each round begins with a new one.
        meter.measure_time(
            rate,
            "copies mended and views read at one proxy",
            lambda child, answers=answers: _apply_all(child, answers),
            prepare=lambda first=versions[0]: make_relay(first, node=1),
        )
        meter.count(rate, "answers to one proxy", "bytes", sum(frame_size(answer) for answer in answers))


def _apply_all(child: Relay, answers: list) -> None:
    view = view_of(child.copy.items)
    for answer in answers:
        if not child.accept_answer(over_connection(answer, answer=True), sent=ZERO):
            raise AssertionError("a change was not applied")
        view = view_of(child.copy.items, before=view)


def _patch_of(size: Size, revision: int) -> bytes:
    item = route_item(revision % size.routes, size, revision=revision)
    return pack_command(PatchItems(f"request-{revision}", "desk", "standing", pack_patch(Patch([item]))))


def _states_after(state: State, payloads: list[bytes]) -> list[State]:
    """The state after each of the commands."""
    states = []
    for number, payload in enumerate(payloads):
        state, _ = apply(state, offset=2 + number, epoch=1, stamp=timedelta(seconds=number), payload=payload)
        states.append(state)
    return states


def _restart_payloads(number: int, size: Size) -> list[bytes]:
    """The four records of a restart: server and node are gone, then both are back with a new incarnation."""
    node, server = node_record(number, size), server_record(number, size)
    incarnation = f"{number + 4096:012x}"
    server_fields = (server.proxy, server.service, server.instance, server.address, server.zone)
    node_fields = (node.node, node.kind, node.address, node.zone)
    return [
        pack_command(RegisterServer(*server_fields, GONE, server.serial, server.incarnation, 1)),
        pack_command(RegisterNode(*node_fields, node.incarnation, GONE, 1)),
        pack_command(RegisterNode(*node_fields, incarnation, "alive", seen_revision=10**6, level=3)),
        pack_command(
            RegisterServer(
                *server_fields[:2],
                server.instance + "b",
                *server_fields[3:],
                READY,
                1,
                incarnation,
                seen_revision=10**6,
            )
        ),
    ]


def restarts(meter: Meter, points: list[int]) -> None:
    """Measures an hour of restarts by their rate, each of a node with its server, one after the other."""
    size, base = GOAL, make_state(GOAL)
    for rate in points:
        payloads = [payload for number in range(rate) for payload in _restart_payloads(number, size)]
        states = _states_after(base, payloads)
        meter.count(rate, "changes of the news", "", len({state.data_plane_revision for state in states}))
        meter.measure_time(rate, "records of an hour's restarts applied", lambda: _states_after(base, payloads))
        meter.measure_time(
            rate,
            "news packed and vouched for at one core machine",
            lambda: [digests_of(data_plane_items(state)) for state in states],
        )
        versions = [data_plane_items(state) for state in states]
        meter.measure_time(rate, "views read at one proxy", lambda: [view_of(items) for items in versions])


def checkpoint(meter: Meter, points: list[int]) -> None:
    """Measures a checkpoint by the number of held keys in the state."""
    for point in points:
        state = make_state(GOAL._replace(holds=point))
        data = meter.measure_time(point, "pack the state", lambda: pack_state(state))
        meter.measure_time(point, "unpack the state", lambda: unpack_state(data))
        meter.count(point, "checkpoint", "bytes", len(data))
        meter.count(point, "state in memory", "bytes", memory_of(lambda: unpack_state(data)))


def depth(meter: Meter, points: list[int]) -> None:
    """Measures one change passed down a chain of proxies: the time of all of them until the last has applied it."""
    items = data_plane_items(make_state(GOAL))
    changed = {**items, f"server:{proxy_name(0)}": (2, items[f"server:{proxy_name(0)}"][1])}
    view = view_of(items)

    def pass_down(chain: list[Relay]) -> None:
        for parent, child in pairwise(chain):
            call = over_connection(child.poll(own=applied_version(1), now=ZERO), answer=False)
            answer = over_connection(parent.answer(call, now=ZERO), answer=True)
            if not child.accept_answer(answer, sent=ZERO):
                raise AssertionError("a change was not passed down")
            view_of(child.copy.items, before=view)

    for point in points:
        meter.measure_time(
            point,
            "one change through so many levels",
            pass_down,
            prepare=lambda point=point: [
                make_relay(changed, revision=2),
                *(make_relay(items, node=number + 1) for number in range(point)),
            ],
        )


def calls(meter: Meter, points: list[int]) -> None:
    """Measures a second of calls at one proxy, as entry and as target: processor time of cores and packing."""
    path = RequestPath(GOAL)
    for _ in range(WARM_UP_CALLS):
        path.run()
    for point in points:
        meter.measure_time(
            point,
            "a second of calls through the cores and the line's packing",
            lambda: [path.run() for _ in range(point)],
        )


def records(meter: Meter, points: list[int]) -> None:
    """Measures claims written with one sync: processor time of the disk's thread, and bytes on disk."""
    for point in points:
        with tempfile.TemporaryDirectory(prefix="hoistsaddle-") as folder:
            store = Disk(folder=Path(folder), replica=1)
            store.boot()
            store.bootstrap(mesh=MESH, voters={1: "a"}, operators={}, level=3)
            payloads = [pack_command(_claim(number)) for number in range(point)]
            before = sum(path.stat().st_size for path in Path(folder).iterdir())
            offsets = itertools.count(1)

            def write(payloads=payloads, store=store, offsets=offsets) -> None:
                first = next(offsets) * point
                batch = tuple(Record(offset, 1, ZERO, payload) for offset, payload in enumerate(payloads, start=first))
                store.write([Write(1, 1, None, ((1, "a"),), MESH, OffsetAndEpoch(0, 0), False, False, first, batch)])

            meter.measure_time(point, "written with one sync", write)
            after = sum(path.stat().st_size for path in Path(folder).iterdir())
            meter.count(point, "grown on disk for each sync", "bytes", (after - before) / meter.rounds)
            store.close()


def proxies_below(meter: Meter, points: list[int]) -> None:
    """Measures a poll by the number of proxies below its sender, whose applied versions every poll carries."""
    items = data_plane_items(make_state(GOAL))
    for point in points:
        child, parent = make_relay(items, node=1), make_relay(items)
        child.record_applied_versions(tuple(applied_version(number + 2) for number in range(point)), now=ZERO)
        call = child.poll(own=applied_version(1), now=ZERO)
        meter.count(point, "a poll", "bytes", frame_size(call))

        def poll_once(child=child, parent=parent) -> None:
            poll = over_connection(child.poll(own=applied_version(1), now=ZERO), answer=False)
            parent.record_applied_versions(poll.applied_versions, now=ZERO)

        meter.measure_time(point, "a poll asked, passed and heard", poll_once, times=20)


def call_depth(meter: Meter, points: list[int]) -> None:
    """Measures the processor time that the mesh adds to nested calls, through real listeners and connections."""
    for point in points:
        times = measure_call_path(GOAL, depth=point, times=40, rounds=meter.rounds)
        for path, milliseconds in (
            ("through the mesh", times.through_mesh),
            ("directly", times.directly),
        ):
            name = f"a call {path}"
            meter.figures.append(Measured(meter.slope, point, name, "ms", min(milliseconds), max(milliseconds)))
        added = [meshed - direct for meshed, direct in zip(times.through_mesh, times.directly, strict=True)]
        meter.figures.append(Measured(meter.slope, point, "added by the mesh", "ms", min(added), max(added)))


class Slope(NamedTuple):
    """The measuring function of a slope, its points, and the points of a small run."""

    measure: Callable[[Meter, list[int]], None]
    points: list[int]
    small_points: list[int]


SLOPES: dict[str, Slope] = {
    "nodes": Slope(nodes, [100, 250, 500, 760, 1500], [8, 16, 24, 32]),
    "services": Slope(services, [25, 75, 150, 300], [4, 8, 12, 16]),
    "routes": Slope(routes, [75, 150, 300, 600, 1200], [4, 8, 12, 16]),
    "keyed claims a second": Slope(keyed_claims, [100, 300, 1000, 3000], [1, 2, 3, 4]),
    "changes an hour": Slope(changes, [5, 10, 20, 40], [1, 2, 3, 4]),
    "restarts an hour": Slope(restarts, [1, 3, 6, 12], [1, 2, 3, 4]),
    "holds at a checkpoint": Slope(checkpoint, [1000, 5000, 20000, 75000], [10, 20, 30, 40]),
    "depth of the tree": Slope(depth, [1, 2, 3, 4, 6], [1, 2, 3, 4]),
    "records in a sync": Slope(records, [1, 8, 32, 128], [1, 2, 3, 4]),
    "proxies below in the tree": Slope(proxies_below, [1, 8, 32, 108], [1, 2, 3, 4]),
    "depth of a call": Slope(call_depth, [1, 3, 5, 7], [1, 2, 3, 4]),
    "calls a second": Slope(calls, [50, 100, 224, 400], [1, 2, 3, 4]),
}


def take(names: list[str], *, small: bool, rounds: int, write_line: Callable[[str], Any]) -> list[Measured]:
    """Measures the slopes with these names, at their small points or at all points."""
    figures: list[Measured] = []
    for name in names:
        slope = SLOPES[name]
        meter = Meter(slope=name, rounds=rounds)
        slope.measure(meter, slope.small_points if small else slope.points)
        write_line(f"{name}: {len(meter.figures)} figures")
        figures += meter.figures
    return figures
