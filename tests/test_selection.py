"""What an entry's core reads out of a view once: open servers by service, and its part of the further sends."""

import random
from datetime import timedelta

from testtools import TestCase
from testtools.matchers import Equals

from hoistsaddle.proxy.further import part_of
from hoistsaddle.proxy.messages import SetupChanged
from hoistsaddle.proxy.standing import ProxyParamsView
from hoistsaddle.sidecar import selection
from hoistsaddle.sidecar.core import SidecarCore
from hoistsaddle.sidecar.messages import Asked, DealOn
from hoistsaddle.statemachine.state import GONE, WINDING_DOWN, State, news_of
from hoistsaddle.statemachine.view import View, read_view
from hoistsaddle.testbed.scale.sizes import HOST, Size, make_state, prefix_of, stall_name

SIZE = Size(nodes=6, services=2, routes=2)


def view_of(state: State) -> View:
    return read_view(revision=1, items=news_of(state), node=stall_name(1), zone="zone-2", before=View())


def core_with(view: View) -> SidecarCore:
    server = view.servers[stall_name(1)]
    core = SidecarCore(
        params=ProxyParamsView(
            server.stall, server.zone, server.incarnation, timedelta(seconds=1.5), timedelta(seconds=5), 400, 400
        ),
        seed=random.Random(1),
        now=timedelta(),
        server=server.address,
        drain_span=timedelta(seconds=2),
        further_percent=20,
        further_margin=10,
        key_span=timedelta(seconds=75),
        service=server.service,
    )
    core.handle(SetupChanged(view), now=timedelta())
    return core


def asked(core: SidecarCore, count: int) -> set[str]:
    """Which stalls so many requests for the first service went to."""
    found = set()
    for _ in range(count):
        core.tickets = getattr(core, "tickets", 0) + 1
        event = Asked(core.tickets, "GET", HOST, f"{prefix_of(0)}x", b"\x90", 80, b"", None, "", f"send-{core.tickets}")
        found |= {each.call.target for each in core.handle(event, now=timedelta()) if isinstance(each, DealOn)}
    return found


class Selecting(TestCase):
    def test_a_new_view_counts_with_the_next_request(self) -> None:
        state = make_state(SIZE)
        core = core_with(view_of(state))
        self.assertThat(asked(core, 60), Equals({stall_name(0), stall_name(2), stall_name(4)}))
        servers = state.servers
        for stall, change in ((0, {"state": WINDING_DOWN}), (2, {"drained_by": "ada"})):
            servers = servers.set(stall_name(stall), servers[stall_name(stall)]._replace(**change))
            state = state._replace(servers=servers)
            core.handle(SetupChanged(view_of(state)), now=timedelta())
            self.assertThat(stall_name(stall) in asked(core, 30), Equals(False))
        self.assertThat(asked(core, 30), Equals({stall_name(4)}))
        gone = state.nodes.set(stall_name(4), state.nodes[stall_name(4)]._replace(state=GONE))
        core.handle(SetupChanged(view_of(state._replace(nodes=gone))), now=timedelta())
        self.assertThat(asked(core, 5), Equals(set()))
        core.handle(SetupChanged(view_of(make_state(SIZE))), now=timedelta())
        # The one that had all requests meanwhile has the most under way: the others come first now.
        self.assertThat(asked(core, 60), Equals({stall_name(0), stall_name(2)}))

    def test_the_part_of_further_sends_is_worked_out_once_a_view_and_anew_with_the_next(self) -> None:
        worked_out = []

        def counted(**needs):
            worked_out.append(len(needs["stalls"]))
            return part_of(**needs)

        self.patch(selection, "part_of", counted)
        state = make_state(SIZE)
        core = core_with(view_of(state))
        asked(core, 20)
        self.assertThat(worked_out, Equals([6]))
        gone = state.nodes.set(stall_name(5), state.nodes[stall_name(5)]._replace(state=GONE))
        core.handle(SetupChanged(view_of(state._replace(nodes=gone))), now=timedelta())
        asked(core, 20)
        self.assertThat(worked_out, Equals([6, 5]))
        left = [stall_name(number) for number in range(5)]
        self.assertThat(
            core.parts,
            Equals({"service-000": part_of(service="service-000", stall=stall_name(1), stalls=left, margin=10)}),
        )
