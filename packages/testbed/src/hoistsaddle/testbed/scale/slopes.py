"""Slopes of the control mechanisms without sockets: the cores called directly, counted, and timed by the processor.

Each slope turns one size and leaves the others as they are. Counts and bytes come out the same each time; processor
time is taken over several rounds and told as the least of them (what the work itself needs) with the spread.
"""

import itertools
import random
import tempfile
import time
import tracemalloc
from collections.abc import Callable
from datetime import timedelta
from itertools import pairwise
from pathlib import Path
from typing import Any, NamedTuple

from hoistsaddle.common.clock import ZERO
from hoistsaddle.config.items import Patch, pack_patch
from hoistsaddle.membership.configuration_copy import ConfigurationCopy
from hoistsaddle.membership.distribution_tree import select_parents
from hoistsaddle.membership.member import MemberTimings
from hoistsaddle.membership.membership import ALIVE, GossipReceived, Membership, Probe, ProbeAnswered
from hoistsaddle.membership.membership import Ticked as MemberTicked
from hoistsaddle.membership.relay import Relay
from hoistsaddle.proxy.core_state import CoreSettings
from hoistsaddle.proxy.messages import ConfigurationChanged
from hoistsaddle.raft.disk import Disk
from hoistsaddle.raft.events import OffsetAndEpoch, Write
from hoistsaddle.rpc.codec import pack, unpack
from hoistsaddle.rpc.messages import (
    AppliedVersion,
    MemberState,
    ProbeAnswer,
    ProbeCall,
    Record,
    WriteCall,
)
from hoistsaddle.sidecar.core import SidecarCore
from hoistsaddle.sidecar.messages import ForwardAnswered, ForwardArrived, RequestArrived, ServerAnswered
from hoistsaddle.statemachine.apply import apply
from hoistsaddle.statemachine.commands import ClaimKey, PatchItems, RegisterNode, RegisterServer, Tick
from hoistsaddle.statemachine.data_plane import data_plane_items
from hoistsaddle.statemachine.digests import digests_of
from hoistsaddle.statemachine.encoding import pack_command
from hoistsaddle.statemachine.snapshots import pack_state, unpack_state
from hoistsaddle.statemachine.state import GONE, READY, State
from hoistsaddle.statemachine.view import View, read_view
from hoistsaddle.testbed.scale.call_path import spend
from hoistsaddle.testbed.scale.sizes import (
    GOAL,
    HOST,
    Size,
    hold_of_number,
    make_state,
    node_entry,
    prefix_of,
    proxy_name,
    route_setting,
    server_entry,
    zone_name,
)

FAN_OUT = 8
MESH = "0123456789abcdef"
Items = dict[str, tuple[int, bytes]]


class Measured(NamedTuple):
    """One figure at one point of one slope."""

    slope: str
    point: float
    what: str
    unit: str
    value: float
    # The largest of the rounds; the same as the value where it is a count.
    most: float


class Meter:
    def __init__(self, *, slope: str, rounds: int) -> None:
        self.slope = slope
        self.rounds = rounds
        self.found: list[Measured] = []

    def count(self, point: float, what: str, unit: str, value: float) -> None:
        self.found.append(Measured(self.slope, point, what, unit, value, value))

    def spend(
        self,
        point: float,
        what: str,
        work: Callable[..., Any],
        *,
        times: int = 1,
        prepare: Callable[[], Any] | None = None,
    ) -> Any:
        """Processor time of this process for one piece of work, in milliseconds; what is prepared first isn't timed."""
        spans = []
        for _ in range(self.rounds):
            needs = () if prepare is None else (prepare(),)
            began = time.process_time()
            for _ in range(times):
                result = work(*needs)
            spans.append((time.process_time() - began) * 1000 / times)
        self.found.append(Measured(self.slope, point, what, "ms", min(spans), max(spans)))
        return result


def _view(items: Items, *, before: View = View()) -> View:  # noqa: B008
    return read_view(revision=2, items=items, node=proxy_name(0), zone="zone-1", before=before)


def _applied_version(number: int) -> AppliedVersion:
    return AppliedVersion(proxy_name(number), 10**6, 0, "", f"{number:012x}", 0)


def _relay(items: Items, *, node: int = 0, revision: int = 1) -> Relay:
    relay = Relay(node=proxy_name(node), incarnation=f"{node:012x}", lease_span=timedelta(seconds=1.5))
    relay.accept_read(asked=ZERO, mesh=MESH, revision=revision, items=items, expected_digests=digests_of(items))
    return relay


def _memory_of(make: Callable[[], Any]) -> int:
    tracemalloc.start()
    kept = make()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return size


def _configuration_costs(meter: Meter, point: float, size: Size) -> None:
    """What a copy of the configuration of this size costs each proxy and registry that holds it."""
    state = make_state(size)
    items = data_plane_items(state)
    meter.count(point, "keys of the configuration", "", len(items))
    meter.count(
        point, "bytes of the configuration", "bytes", sum(len(key) + len(value) for key, (_, value) in items.items())
    )
    meter.spend(point, "pack the news after a change (each core machine)", lambda: data_plane_items(state))
    copy = ConfigurationCopy()
    copy.replace(mesh=MESH, revision=1, items=items)
    meter.spend(point, "take all digests anew", copy.audit)
    view = meter.spend(point, "read the view of a first copy", lambda: _view(items))
    meter.spend(point, "read the view after a change", lambda: _view(items, before=view))
    meter.count(point, "copy and view in memory", "bytes", _memory_of(lambda: (data_plane_items(state), _view(items))))
    parent, child = _relay(items), _relay(items, node=1)
    call = child.poll(own=_applied_version(1), now=ZERO)
    meter.spend(point, "ask a poll", lambda: child.poll(own=_applied_version(1), now=ZERO))
    meter.spend(point, "answer a poll", lambda: parent.answer(call, now=ZERO))
    meter.spend(
        point,
        "take a poll's answer without news",
        lambda: child.accept_answer(parent.answer(call, now=ZERO), sent=ZERO),
    )
    meter.count(
        point, "a poll without news, both ways", "bytes", _size_of(call) + _size_of(parent.answer(call, now=ZERO))
    )
    changed = {**items, f"server:{proxy_name(0)}": (2, items[f"server:{proxy_name(0)}"][1])}
    newer = _relay(changed, revision=2)
    answer = newer.answer(call, now=ZERO)
    meter.count(point, "a poll's answer with one change", "bytes", _size_of(answer))
    meter.spend(point, "pack and unpack that answer", lambda: unpack(pack(number=1, answer=True, message=answer)))


def _pass(message: tuple, *, answer: bool) -> Any:
    """Over a line: packed there, unpacked here."""
    return unpack(pack(number=1, answer=answer, message=message))[2]


def _size_of(message: tuple) -> int:
    return len(pack(number=1, answer=True, message=message)) + 4


# -- one request -----------------------------------------------------------------------------------------------------


def _core(view: View, *, number: int) -> SidecarCore:
    node = proxy_name(number)
    server = view.servers[node]
    core = SidecarCore(
        settings=CoreSettings(
            node, server.zone, server.incarnation, timedelta(seconds=1.5), timedelta(seconds=5), 400, 400
        ),
        seed=random.Random(number),
        now=ZERO,
        server_address=server.address,
        drain_timeout=timedelta(seconds=2),
        retry_percent=20,
        retry_margin=10,
        key_lifetime=timedelta(seconds=75),
        service=server.service,
    )
    core.handle(ConfigurationChanged(view), now=ZERO)
    return core


class _Call:
    """One request through the cores of an entry and a target, in its pieces."""

    def __init__(self, size: Size) -> None:
        self.view = _view(data_plane_items(make_state(size)))
        self.entry, self.target = _core(self.view, number=0), _core(self.view, number=size.services % size.nodes)
        self.path = f"{prefix_of(0)}thing?number=1"
        self.ticket = 0
        self.body = b"x" * 200

    def ask(self) -> Any:
        self.ticket += 1
        asked = RequestArrived(self.ticket, "GET", HOST, self.path, b"\x90", 120, b"", None, "", f"send-{self.ticket}")
        return self.entry.handle(asked, now=ZERO)[-1]

    def arrive(self, call) -> Any:
        # Whichever server was selected, this core stands for it.
        server = self.target.server
        call = call._replace(target=self.target.settings.name, instance=server.instance, service_name=server.service)
        self.ticket += 1
        return self.target.handle(ForwardArrived(self.ticket, call), now=ZERO)[-1]

    def whole(self) -> int:
        pending: Any = self.ask()
        frame = pack(number=1, answer=False, message=pending.call)
        call: Any = unpack(frame)[2]
        serve = self.arrive(call)
        done: Any = self.target.handle(ServerAnswered(serve.number, 200, b"\x90", self.body, False), now=ZERO)[-1]
        answer = done.answer
        back = pack(number=1, answer=True, message=answer._replace(attempt_id=pending.call.attempt_id))
        told: Any = unpack(back)[2]
        self.entry.handle(ForwardAnswered(pending.number, told), now=ZERO)
        return len(frame) + len(back) + 8


def _request_costs(meter: Meter, point: float, size: Size, *, times: int) -> None:
    call = _Call(size)
    # Every server met once first: a never met one costs more.
    for _ in range(3 * size.nodes // size.services + 3):
        call.whole()
    meter.spend(point, "one call through both cores and the line's packing", call.whole, times=times)
    pending_requests = []
    meter.spend(
        point,
        "of it: the entry's core until a server is selected",
        lambda: pending_requests.append(call.ask()),
        times=times,
    )
    sent = pending_requests[-1].call
    meter.spend(
        point,
        "of it: pack and unpack of the call",
        lambda: unpack(pack(number=1, answer=False, message=sent)),
        times=times,
    )
    call.entry.ingress.requests.requests.clear()
    call.entry.ingress.requests.tickets.clear()


# -- membership ------------------------------------------------------------------------------------------------------


def _membership_costs(meter: Meter, point: float, size: Size) -> None:
    timings = MemberTimings(
        probe_interval=timedelta(seconds=1), suspicion_timeout=timedelta(seconds=2), retransmit_limit=6
    )
    member_states = [
        MemberState(entry.node, "stall", entry.address, entry.zone, entry.incarnation, 0, ALIVE)
        for entry in (node_entry(number, size) for number in range(size.nodes))
    ]
    member = Membership(
        me=member_states[0],
        rng=random.Random(1),
        probe_interval=timings.probe_interval,
        suspicion_timeout=timings.suspicion_timeout,
        retransmit_limit=timings.retransmit_limit,
    )
    member.handle(GossipReceived(tuple(member_states)), now=ZERO)
    for _ in range(size.nodes):
        member.member_states()
    now = ZERO

    def second() -> int:
        nonlocal now
        now += timings.probe_interval
        (probe,) = [each for each in member.handle(MemberTicked(), now=now) if isinstance(each, Probe)]
        member.handle(ProbeAnswered(probe.node, (member_states[1],)), now=now)
        member.handle(GossipReceived((member_states[2],)), now=now)
        answer = ProbeAnswer(member_states[0].node, member.member_states())
        return 2 * (_size_of(ProbeCall(member_states[0].node, probe.member_states)) + _size_of(answer))

    sent = meter.spend(point, "a second of membership while nothing changes", second, times=20)
    meter.count(point, "bytes of it, both ways", "bytes", sent)
    met = member.member_states(complete=True)
    meter.count(point, "all members told to one just met", "bytes", _size_of(ProbeAnswer(member_states[0].node, met)))


def tree_of(size: Size, *, roots: int, fan_out: int = FAN_OUT) -> dict[str, int]:
    """Depth of every proxy below its root, by the rule that the proxies themselves use, zone by zone."""
    addresses: dict[str, str] = {}
    depths: dict[str, int] = {}
    core = [(f"bourse-{number + 1}", f"root-{number}", zone_name(number, size)) for number in range(roots)]
    entries = [node_entry(number, size) for number in range(size.nodes)]
    for entry in entries:
        near = [(name, address) for name, address, zone in core if zone == entry.zone]
        proxies = [(each.node, each.address) for each in entries if not near or each.zone == entry.zone]
        tops = near or [(name, address) for name, address, _ in core]
        addresses[entry.node] = select_parents(node=entry.node, proxies=proxies, roots=tops, fan_out=fan_out)[0]
    by_address = {entry.address: entry.node for entry in entries}

    def depth(node: str) -> int:
        if node not in depths:
            parent = by_address.get(addresses[node])
            depths[node] = 1 if parent is None else 1 + depth(parent)
        return depths[node]

    for entry in entries:
        depth(entry.node)
    return depths


# -- slopes ----------------------------------------------------------------------------------------------------------


def nodes(meter: Meter, points: list[int]) -> None:
    for point in points:
        size = GOAL._replace(nodes=point)
        _configuration_costs(meter, point, size)
        _membership_costs(meter, point, size)
        _request_costs(meter, point, size._replace(services=min(GOAL.services, point)), times=50)
        for roots in (3, 7):
            depths = tree_of(size, roots=roots)
            meter.count(point, f"levels of the tree under {roots} roots", "", max(depths.values()))


def services(meter: Meter, points: list[int]) -> None:
    for point in points:
        size = GOAL._replace(services=point)
        _configuration_costs(meter, point, size)
        _request_costs(meter, point, size, times=50)


def routes(meter: Meter, points: list[int]) -> None:
    for point in points:
        size = GOAL._replace(routes=point)
        _configuration_costs(meter, point, size)
        view = _view(data_plane_items(make_state(size)))
        path = prefix_of(point - 1)
        meter.spend(point, "look up the last route", lambda: view.items.match_route(host=HOST, path=path), times=200)


def _claim(number: int) -> ClaimKey:
    scope, hold = hold_of_number(number)
    return ClaimKey(scope, hold.claim, hold.proxy, "", scope, "operation", scope, hold.route, 75, "")


def keyed_claims(meter: Meter, points: list[int]) -> None:
    """So many a second; each stays for 75 s of mesh time, and one second of them is applied."""
    for rate in points:
        state = make_state(GOAL._replace(holds=rate * 75))
        payloads = [pack_command(_claim(10**6 + number)) for number in range(rate)]
        base = state._replace(mesh_time=timedelta(seconds=100), expired_at=timedelta(seconds=100))

        def second() -> State:
            after = base
            for place, payload in enumerate(payloads):
                after, _ = apply(after, offset=2 + place, epoch=1, stamp=timedelta(seconds=100), payload=payload)
            return after

        meter.spend(rate, "apply a second of claims (each core machine)", second)
        tick = pack_command(Tick(1))
        meter.spend(
            rate,
            "the sweep that comes every 5 s",
            lambda: apply(base, offset=2, epoch=1, stamp=timedelta(seconds=106), payload=tick),
        )
        batches = [tuple(payloads[place : place + 128]) for place in range(0, len(payloads), 128)]
        meter.spend(
            rate,
            "pack and unpack a second of claims on one line",
            lambda: [unpack(pack(number=1, answer=False, message=WriteCall("bourse-1", batch))) for batch in batches],
        )
        meter.count(
            rate,
            "claims on one line in a second",
            "bytes",
            sum(_size_of(WriteCall("bourse-1", batch)) for batch in batches),
        )


def changes(meter: Meter, points: list[int]) -> None:
    """So many changes of one route each, an hour's worth, one after the other."""
    size = GOAL
    for rate in points:
        states = _states(make_state(size), [_patch_of(size, place + 2) for place in range(rate)])
        news = [data_plane_items(state) for state in (make_state(size), *states)]
        answers = []
        for place, (before, after) in enumerate(pairwise(news)):
            call = _relay(before, node=1, revision=place + 1).poll(own=_applied_version(1), now=ZERO)
            answers.append(_relay(after, revision=place + 2).answer(call, now=ZERO))
        meter.spend(
            rate,
            "news packed and vouched for at one core machine",
            lambda states=states: [digests_of(data_plane_items(state)) for state in states],
        )
        # A copy that took the changes once can't take them again: each round begins with a new one.
        meter.spend(
            rate,
            "copies mended and views read at one proxy",
            lambda child, answers=answers: _take_all(child, answers),
            prepare=lambda first=news[0]: _relay(first, node=1),
        )
        meter.count(rate, "answers to one proxy", "bytes", sum(_size_of(answer) for answer in answers))


def _take_all(child: Relay, answers: list) -> None:
    view = _view(child.copy.items)
    for answer in answers:
        if not child.accept_answer(_pass(answer, answer=True), sent=ZERO):
            raise AssertionError("a change was not taken")
        view = _view(child.copy.items, before=view)


def _patch_of(size: Size, revision: int) -> bytes:
    setting = route_setting(revision % size.routes, size, revision=revision)
    return pack_command(PatchItems(f"request-{revision}", "desk", "standing", pack_patch(Patch([setting]))))


def _states(state: State, payloads: list[bytes]) -> list[State]:
    found = []
    for place, payload in enumerate(payloads):
        state, _ = apply(state, offset=2 + place, epoch=1, stamp=timedelta(seconds=place), payload=payload)
        found.append(state)
    return found


def _restart_payloads(number: int, size: Size) -> list[bytes]:
    """Server and node called gone, then back with a new life: four records."""
    node, server = node_entry(number, size), server_entry(number, size)
    life = f"{number + 4096:012x}"
    told = (server.proxy, server.service, server.instance, server.address, server.zone)
    placed = (node.node, node.kind, node.address, node.zone)
    return [
        pack_command(RegisterServer(*told, GONE, server.serial, server.incarnation, 1)),
        pack_command(RegisterNode(*placed, node.incarnation, GONE, 1)),
        pack_command(RegisterNode(*placed, life, "alive", seen_revision=10**6, level=3)),
        pack_command(RegisterServer(*told[:2], server.instance + "b", *told[3:], READY, 1, life, seen_revision=10**6)),
    ]


def restarts(meter: Meter, points: list[int]) -> None:
    size, base = GOAL, make_state(GOAL)
    for rate in points:
        payloads = [payload for number in range(rate) for payload in _restart_payloads(number, size)]
        states = _states(base, payloads)
        meter.count(rate, "changes of the news", "", len({state.data_plane_revision for state in states}))
        meter.spend(rate, "records of an hour's restarts applied", lambda: _states(base, payloads))
        meter.spend(
            rate,
            "news packed and vouched for at one core machine",
            lambda: [digests_of(data_plane_items(state)) for state in states],
        )
        news = [data_plane_items(state) for state in states]
        meter.spend(rate, "views read at one proxy", lambda: [_view(items) for items in news])


def checkpoint(meter: Meter, points: list[int]) -> None:
    for point in points:
        state = make_state(GOAL._replace(holds=point))
        data = meter.spend(point, "pack the state", lambda: pack_state(state))
        meter.spend(point, "unpack the state", lambda: unpack_state(data))
        meter.count(point, "checkpoint", "bytes", len(data))
        meter.count(point, "state in memory", "bytes", _memory_of(lambda: unpack_state(data)))


def depth(meter: Meter, points: list[int]) -> None:
    """One change handed down a chain of stalls: what all of them spend until the last has it."""
    items = data_plane_items(make_state(GOAL))
    changed = {**items, f"server:{proxy_name(0)}": (2, items[f"server:{proxy_name(0)}"][1])}
    view = _view(items)

    def hand_down(chain: list[Relay]) -> None:
        for parent, child in pairwise(chain):
            call = _pass(child.poll(own=_applied_version(1), now=ZERO), answer=False)
            answer = _pass(parent.answer(call, now=ZERO), answer=True)
            if not child.accept_answer(answer, sent=ZERO):
                raise AssertionError("a change was not handed down")
            _view(child.copy.items, before=view)

    for point in points:
        meter.spend(
            point,
            "one change through so many levels",
            hand_down,
            prepare=lambda point=point: [
                _relay(changed, revision=2),
                *(_relay(items, node=place + 1) for place in range(point)),
            ],
        )


def calls(meter: Meter, points: list[int]) -> None:
    """So many calls in a second at one proxy, as entry and as target: processor time of cores and packing."""
    call = _Call(GOAL)
    for _ in range(30):
        call.whole()
    for point in points:
        meter.spend(
            point,
            "a second of calls through the cores and the line's packing",
            lambda: [call.whole() for _ in range(point)],
        )


def records(meter: Meter, points: list[int]) -> None:
    """Claims written with one sync: processor time of the disk's thread, and bytes on disk."""
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
                told = tuple(Record(first + place, 1, ZERO, payload) for place, payload in enumerate(payloads))
                store.write([Write(1, 1, None, ((1, "a"),), MESH, OffsetAndEpoch(0, 0), False, False, first, told)])

            meter.spend(point, "written with one sync", write)
            after = sum(path.stat().st_size for path in Path(folder).iterdir())
            meter.count(point, "grown on disk for each sync", "bytes", (after - before) / meter.rounds)
            store.close()


def below(meter: Meter, points: list[int]) -> None:
    """A poll that carries the applied versions of so many proxies below its sender, as every poll does."""
    items = data_plane_items(make_state(GOAL))
    for point in points:
        child, parent = _relay(items, node=1), _relay(items)
        child.record_applied_versions(tuple(_applied_version(number + 2) for number in range(point)), now=ZERO)
        call = child.poll(own=_applied_version(1), now=ZERO)
        meter.count(point, "a poll", "bytes", _size_of(call))

        def heard(child=child, parent=parent) -> None:
            told = _pass(child.poll(own=_applied_version(1), now=ZERO), answer=False)
            parent.record_applied_versions(told.applied_versions, now=ZERO)

        meter.spend(point, "a poll asked, passed and heard", heard, times=20)


def call_depth(meter: Meter, points: list[int]) -> None:
    """One call so many deep through real doors, lines and servers: processor time that the mesh adds."""
    for point in points:
        spent = spend(GOAL, depth=point, times=40, rounds=meter.rounds)
        for way, spans in spent.items():
            meter.found.append(Measured(meter.slope, point, f"a call {way}", "ms", min(spans), max(spans)))
        added = [meshed - straight for meshed, straight in zip(*spent.values(), strict=True)]
        meter.found.append(Measured(meter.slope, point, "added by the mesh", "ms", min(added), max(added)))


SLOPES: dict[str, tuple[Callable[[Meter, list[int]], None], list[int], list[int]]] = {
    # Name to work, its points, and the points of a small run.
    "nodes": (nodes, [100, 250, 500, 760, 1500], [8, 16, 24, 32]),
    "services": (services, [25, 75, 150, 300], [4, 8, 12, 16]),
    "routes": (routes, [75, 150, 300, 600, 1200], [4, 8, 12, 16]),
    "keyed claims a second": (keyed_claims, [100, 300, 1000, 3000], [1, 2, 3, 4]),
    "changes an hour": (changes, [5, 10, 20, 40], [1, 2, 3, 4]),
    "restarts an hour": (restarts, [1, 3, 6, 12], [1, 2, 3, 4]),
    "holds at a checkpoint": (checkpoint, [1000, 5000, 20000, 75000], [10, 20, 30, 40]),
    "depth of the tree": (depth, [1, 2, 3, 4, 6], [1, 2, 3, 4]),
    "records in a sync": (records, [1, 8, 32, 128], [1, 2, 3, 4]),
    "proxies below in the tree": (below, [1, 8, 32, 108], [1, 2, 3, 4]),
    "depth of a call": (call_depth, [1, 3, 5, 7], [1, 2, 3, 4]),
    "calls a second": (calls, [50, 100, 224, 400], [1, 2, 3, 4]),
}


def take(names: list[str], *, small: bool, rounds: int, write_line: Callable[[str], Any]) -> list[Measured]:
    found: list[Measured] = []
    for name in names:
        work, points, few = SLOPES[name]
        meter = Meter(slope=name, rounds=rounds)
        work(meter, few if small else points)
        write_line(f"{name}: {len(meter.found)} figures")
        found += meter.found
    return found
