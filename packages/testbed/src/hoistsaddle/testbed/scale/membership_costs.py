"""The cost of membership at a node, and the depth of the distribution tree."""

import random
from datetime import timedelta

from hoistsaddle.common.clock import ZERO
from hoistsaddle.membership.distribution_tree import select_parents
from hoistsaddle.membership.member import MemberTimings
from hoistsaddle.membership.membership import ALIVE, GossipReceived, Membership, Probe, ProbeAnswered
from hoistsaddle.membership.membership import Ticked as MemberTicked
from hoistsaddle.rpc.messages import (
    MemberState,
    ProbeAnswer,
    ProbeCall,
)
from hoistsaddle.testbed.scale.fixtures import frame_size
from hoistsaddle.testbed.scale.meter import Meter
from hoistsaddle.testbed.scale.sizes import (
    Size,
    node_record,
    zone_name,
)

# Children of a node in the distribution tree.
FAN_OUT = 8


def measure_membership(meter: Meter, point: float, size: Size) -> None:
    """Measures one second of membership at a node while nothing changes."""
    timings = MemberTimings(
        probe_interval=timedelta(seconds=1), suspicion_timeout=timedelta(seconds=2), retransmit_limit=6
    )
    member_states = [
        MemberState(entry.node, "stall", entry.address, entry.zone, entry.incarnation, 0, ALIVE)
        for entry in (node_record(number, size) for number in range(size.nodes))
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

    def run_one_second() -> int:
        nonlocal now
        now += timings.probe_interval
        (probe,) = [command for command in member.handle(MemberTicked(), now=now) if isinstance(command, Probe)]
        member.handle(ProbeAnswered(probe.node, (member_states[1],)), now=now)
        member.handle(GossipReceived((member_states[2],)), now=now)
        answer = ProbeAnswer(member_states[0].node, member.member_states())
        return 2 * (frame_size(ProbeCall(member_states[0].node, probe.member_states)) + frame_size(answer))

    bytes_sent = meter.measure_time(point, "a second of membership while nothing changes", run_one_second, times=20)
    meter.count(point, "bytes of it, both ways", "bytes", bytes_sent)
    all_states = member.member_states(complete=True)
    meter.count(
        point, "all members told to one just met", "bytes", frame_size(ProbeAnswer(member_states[0].node, all_states))
    )


def tree_of(size: Size, *, roots: int, fan_out: int = FAN_OUT) -> dict[str, int]:
    """The depth of every proxy below its root, by the rule that proxies use to select their parents in each zone."""
    parent_addresses: dict[str, str] = {}
    depths: dict[str, int] = {}
    core = [(f"bourse-{number + 1}", f"root-{number}", zone_name(number, size)) for number in range(roots)]
    records = [node_record(number, size) for number in range(size.nodes)]
    for record in records:
        roots_in_zone = [(name, address) for name, address, zone in core if zone == record.zone]
        proxies = [(other.node, other.address) for other in records if not roots_in_zone or other.zone == record.zone]
        tree_roots = roots_in_zone or [(name, address) for name, address, _ in core]
        parents = select_parents(node=record.node, proxies=proxies, roots=tree_roots, fan_out=fan_out)
        parent_addresses[record.node] = parents[0]
    by_address = {record.address: record.node for record in records}

    def depth(node: str) -> int:
        if node not in depths:
            parent = by_address.get(parent_addresses[node])
            depths[node] = 1 if parent is None else 1 + depth(parent)
        return depths[node]

    for record in records:
        depth(record.node)
    return depths
