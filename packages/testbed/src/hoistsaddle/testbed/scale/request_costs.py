"""The cost of one request in the cores of its proxies, and of packing its messages."""

import random
from datetime import timedelta
from typing import Any

from hoistsaddle.common.clock import ZERO
from hoistsaddle.proxy.core_state import CoreSettings
from hoistsaddle.proxy.messages import ConfigurationChanged, LeaseRenewed
from hoistsaddle.rpc.codec import pack, unpack
from hoistsaddle.sidecar.core import SidecarCore
from hoistsaddle.sidecar.messages import ForwardAnswered, ForwardArrived, RequestArrived, ServerAnswered
from hoistsaddle.statemachine.data_plane import data_plane_items
from hoistsaddle.statemachine.view import View
from hoistsaddle.testbed.scale.fixtures import LENGTH_BYTES, view_of
from hoistsaddle.testbed.scale.meter import Meter
from hoistsaddle.testbed.scale.sizes import (
    HOST,
    Size,
    make_state,
    prefix_of,
    proxy_name,
)


def _make_core(view: View, *, number: int) -> SidecarCore:
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
        max_configuration_age=timedelta(seconds=2),
        service=server.service,
    )
    core.handle(ConfigurationChanged(view), now=ZERO)
    core.handle(LeaseRenewed(ZERO), now=ZERO)
    return core


class RequestPath:
    """Passes requests one by one through the cores of an entry and a target proxy."""

    def __init__(self, size: Size) -> None:
        self.view = view_of(data_plane_items(make_state(size)))
        self.entry = _make_core(self.view, number=0)
        self.target = _make_core(self.view, number=size.services % size.nodes)
        self.path = f"{prefix_of(0)}thing?number=1"
        self.ticket = 0
        self.body = b"x" * 200

    def send(self) -> Any:
        """Passes a client's request to the entry; returns the command that forwards it."""
        self.ticket += 1
        arrived = RequestArrived(
            self.ticket, "GET", HOST, self.path, b"\x90", 120, b"", None, "", f"send-{self.ticket}"
        )
        return self.entry.handle(arrived, now=ZERO)[-1]

    def arrive(self, call: Any) -> Any:
        """Passes a forwarded call to the target; returns the command that runs it on the server."""
        # This core represents whichever server was selected.
        server = self.target.server
        call = call._replace(target=self.target.settings.name, instance=server.instance, service_name=server.service)
        self.ticket += 1
        return self.target.handle(ForwardArrived(self.ticket, call), now=ZERO)[-1]

    def run(self) -> int:
        """Runs one request from its arrival to its answer; returns the bytes of its two frames."""
        pending: Any = self.send()
        frame = pack(number=1, answer=False, message=pending.call)
        call: Any = unpack(frame)[2]
        run_on_server = self.arrive(call)
        answered: Any = self.target.handle(
            ServerAnswered(run_on_server.number, 200, b"\x90", self.body, False), now=ZERO
        )[-1]
        back = pack(number=1, answer=True, message=answered.answer._replace(attempt_id=pending.call.attempt_id))
        answer: Any = unpack(back)[2]
        self.entry.handle(ForwardAnswered(pending.number, answer), now=ZERO)
        return len(frame) + len(back) + 2 * LENGTH_BYTES


def measure_request(meter: Meter, point: float, size: Size, *, times: int) -> None:
    """Measures one request, as the mean of `times` requests."""
    path = RequestPath(size)
    # Call every server once before the measurement: the first call of a server costs more.
    for _ in range(3 * size.nodes // size.services + 3):
        path.run()
    meter.measure_time(point, "one call through both cores and the line's packing", path.run, times=times)
    pending_requests = []
    meter.measure_time(
        point,
        "of it: the entry's core until a server is selected",
        lambda: pending_requests.append(path.send()),
        times=times,
    )
    sent = pending_requests[-1].call
    meter.measure_time(
        point,
        "of it: pack and unpack of the call",
        lambda: unpack(pack(number=1, answer=False, message=sent)),
        times=times,
    )
    path.entry.ingress.requests.requests.clear()
    path.entry.ingress.requests.tickets.clear()
