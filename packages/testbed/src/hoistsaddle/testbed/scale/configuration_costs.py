"""Costs of a copy of the configuration at a node, and of polls for it."""

from hoistsaddle.common.clock import ZERO
from hoistsaddle.membership.configuration_copy import ConfigurationCopy
from hoistsaddle.rpc.codec import pack, unpack
from hoistsaddle.statemachine.data_plane import data_plane_items
from hoistsaddle.testbed.scale.fixtures import MESH, applied_version, frame_size, make_relay, view_of
from hoistsaddle.testbed.scale.meter import Meter, memory_of
from hoistsaddle.testbed.scale.sizes import (
    Size,
    make_state,
    proxy_name,
)


def measure_configuration(meter: Meter, point: float, size: Size) -> None:
    """Measures the cost of a configuration of this size at a proxy and at a registry, and the cost of polls."""
    state = make_state(size)
    items = data_plane_items(state)
    meter.count(point, "keys of the configuration", "", len(items))
    meter.count(
        point, "bytes of the configuration", "bytes", sum(len(key) + len(value) for key, (_, value) in items.items())
    )
    meter.measure_time(point, "pack the news after a change (each core machine)", lambda: data_plane_items(state))
    copy = ConfigurationCopy()
    copy.replace(mesh=MESH, revision=1, items=items)
    meter.measure_time(point, "take all digests anew", copy.audit)
    view = meter.measure_time(point, "read the view of a first copy", lambda: view_of(items))
    meter.measure_time(point, "read the view after a change", lambda: view_of(items, before=view))
    meter.count(point, "copy and view in memory", "bytes", memory_of(lambda: (data_plane_items(state), view_of(items))))
    parent, child = make_relay(items), make_relay(items, node=1)
    call = child.poll(own=applied_version(1), now=ZERO)
    meter.measure_time(point, "ask a poll", lambda: child.poll(own=applied_version(1), now=ZERO))
    meter.measure_time(point, "answer a poll", lambda: parent.answer(call, now=ZERO))
    meter.measure_time(
        point,
        "take a poll's answer without news",
        lambda: child.accept_answer(parent.answer(call, now=ZERO), sent=ZERO),
    )
    meter.count(
        point, "a poll without news, both ways", "bytes", frame_size(call) + frame_size(parent.answer(call, now=ZERO))
    )
    changed = {**items, f"server:{proxy_name(0)}": (2, items[f"server:{proxy_name(0)}"][1])}
    newer = make_relay(changed, revision=2)
    answer = newer.answer(call, now=ZERO)
    meter.count(point, "a poll's answer with one change", "bytes", frame_size(answer))
    meter.measure_time(
        point, "pack and unpack that answer", lambda: unpack(pack(number=1, answer=True, message=answer))
    )
