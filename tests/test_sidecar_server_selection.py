"""Values that an ingress derives from a configuration: available servers by service, and its retry budget share."""

import random
from datetime import timedelta

from testtools import TestCase
from testtools.matchers import Equals, LessThan

from hoistsaddle.common.clock import milliseconds
from hoistsaddle.common.errors import ErrorKind
from hoistsaddle.proxy.core_state import CoreSettings
from hoistsaddle.proxy.messages import ANSWERED, UNKNOWN, ConfigurationChanged, LeaseRenewed
from hoistsaddle.proxy.retry_budget import retry_quota_of
from hoistsaddle.rpc.messages import ForwardAnswer
from hoistsaddle.sidecar import retry_allowance
from hoistsaddle.sidecar.broken_answers import FIRST_EJECTION, MAX_EJECTION, BrokenAnswers
from hoistsaddle.sidecar.core import SidecarCore
from hoistsaddle.sidecar.messages import ForwardAnswered, ForwardRequest, RequestArrived
from hoistsaddle.statemachine.data_plane import data_plane_items
from hoistsaddle.statemachine.state import GONE, WINDING_DOWN, State
from hoistsaddle.statemachine.view import View, read_view
from hoistsaddle.testbed.scale.sizes import HOST, Size, make_state, prefix_of, proxy_name

SIZE = Size(nodes=6, services=2, routes=2)


def view_of(state: State) -> View:
    return read_view(revision=1, items=data_plane_items(state), node=proxy_name(1), zone="zone-2", before=View())


def core_with(view: View) -> SidecarCore:
    server = view.servers[proxy_name(1)]
    core = SidecarCore(
        settings=CoreSettings(
            server.proxy, server.zone, server.incarnation, timedelta(seconds=1.5), timedelta(seconds=5), 400, 400
        ),
        seed=random.Random(1),
        now=timedelta(),
        server_address=server.address,
        drain_timeout=timedelta(seconds=2),
        retry_percent=20,
        retry_margin=10,
        key_lifetime=timedelta(seconds=75),
        max_configuration_age=timedelta(seconds=2),
        service=server.service,
    )
    core.handle(ConfigurationChanged(view), now=timedelta())
    core.handle(LeaseRenewed(timedelta()), now=timedelta())
    return core


def targets_of_requests(core: SidecarCore, count: int) -> set[str]:
    """Send this many requests for the first service; return the proxies that they were forwarded to."""
    targets = set()
    for _ in range(count):
        core.tickets = getattr(core, "tickets", 0) + 1
        event = RequestArrived(
            core.tickets, "GET", HOST, f"{prefix_of(0)}x", b"\x90", 80, b"", None, "", f"send-{core.tickets}"
        )
        targets |= {
            each.call.target for each in core.handle(event, now=timedelta()) if isinstance(each, ForwardRequest)
        }
    return targets


class ServerSelection(TestCase):
    def test_a_new_view_takes_effect_with_the_next_request(self) -> None:
        state = make_state(SIZE)
        core = core_with(view_of(state))
        self.assertThat(targets_of_requests(core, 60), Equals({proxy_name(0), proxy_name(2), proxy_name(4)}))
        servers = state.servers
        for proxy, change in ((0, {"state": WINDING_DOWN}), (2, {"drained_by": "ada"})):
            servers = servers.set(proxy_name(proxy), servers[proxy_name(proxy)]._replace(**change))
            state = state._replace(servers=servers)
            core.handle(ConfigurationChanged(view_of(state)), now=timedelta())
            self.assertThat(proxy_name(proxy) in targets_of_requests(core, 30), Equals(False))
        self.assertThat(targets_of_requests(core, 30), Equals({proxy_name(4)}))
        gone = state.nodes.set(proxy_name(4), state.nodes[proxy_name(4)]._replace(state=GONE))
        core.handle(ConfigurationChanged(view_of(state._replace(nodes=gone))), now=timedelta())
        self.assertThat(targets_of_requests(core, 5), Equals(set()))
        core.handle(ConfigurationChanged(view_of(make_state(SIZE))), now=timedelta())
        # The server that got all requests meanwhile has the most in flight, so the others are chosen now.
        self.assertThat(targets_of_requests(core, 60), Equals({proxy_name(0), proxy_name(2)}))

    def test_the_share_of_the_retry_budget_is_computed_once_per_view(self) -> None:
        proxy_counts = []

        def counted(**needs):
            proxy_counts.append(len(needs["proxies"]))
            return retry_quota_of(**needs)

        self.patch(retry_allowance, "retry_quota_of", counted)
        state = make_state(SIZE)
        core = core_with(view_of(state))
        targets_of_requests(core, 20)
        self.assertThat(proxy_counts, Equals([6]))
        gone = state.nodes.set(proxy_name(5), state.nodes[proxy_name(5)]._replace(state=GONE))
        core.handle(ConfigurationChanged(view_of(state._replace(nodes=gone))), now=timedelta())
        targets_of_requests(core, 20)
        self.assertThat(proxy_counts, Equals([6, 5]))
        left = [proxy_name(number) for number in range(5)]
        self.assertThat(
            core.ingress.retries.quotas,
            Equals(
                {"service-000": retry_quota_of(service="service-000", proxy=proxy_name(1), proxies=left, margin=10)}
            ),
        )


class Ejection(TestCase):
    """Guards against a server that fails at once and so attracts the requests of a route (issue 64)."""

    def setUp(self) -> None:
        super().setUp()
        self.begin()

    def begin(self) -> None:
        self.core = core_with(view_of(make_state(SIZE)))
        self.now = timedelta()
        self.tickets = 0

    def send(self, path: str = f"{prefix_of(0)}x") -> ForwardRequest:
        """Send a request; return the command that forwards it."""
        self.tickets += 1
        event = RequestArrived(self.tickets, "GET", HOST, path, b"\x90", 80, b"", None, "", f"send-{self.tickets}")
        commands = self.core.handle(event, now=self.now)
        (forwarded,) = [each for each in commands if isinstance(each, ForwardRequest)]
        return forwarded

    def answer(self, forwarded: ForwardRequest, *, broken: bool) -> None:
        """Answer an attempt; one that is broken may be sent to a second server, which answers it."""
        attempt, span = forwarded.call.attempt_id, milliseconds(1 if broken else 30)
        answer = (
            ForwardAnswer(attempt, UNKNOWN, str(ErrorKind.ANSWER_BROKEN), load=0, capacity=4)
            if broken
            else ForwardAnswer(attempt, ANSWERED, "", 200, b"\x90", b"ok", 0, 4, span)
        )
        commands = self.core.handle(ForwardAnswered(forwarded.number, answer), now=self.now)
        for each in commands:
            if isinstance(each, ForwardRequest):
                self.answer(each, broken=False)

    def share_of(self, faulty: set[str], *, requests: int = 300, seconds: float = 3.0) -> float:
        """Send requests over a time, one at a time; return the share of them that the faulty servers got first."""
        hits = 0
        for _ in range(requests):
            self.now += timedelta(seconds=seconds / requests)
            self.core.handle(LeaseRenewed(self.now), now=self.now)
            forwarded = self.send()
            hits += forwarded.call.target in faulty
            self.answer(forwarded, broken=forwarded.call.target in faulty)
        return hits / requests

    def test_servers_whose_answers_are_broken_get_few_requests_of_the_route(self) -> None:
        for number in (0, 2):
            self.begin()
            faulty = {proxy_name(each) for each in (0, 2, 4)} - {proxy_name(number)}
            self.assertThat(self.share_of(faulty), LessThan(0.05), f"healthy: {number}")

    def test_an_ejected_server_is_used_if_all_are_and_again_once_it_answers(self) -> None:
        every = {proxy_name(each) for each in (0, 2, 4)}
        self.assertThat(self.share_of(every), Equals(1.0))
        self.now += MAX_EJECTION
        targets = set()
        for _ in range(60):
            self.now += milliseconds(20)
            self.core.handle(LeaseRenewed(self.now), now=self.now)
            forwarded = self.send()
            targets.add(forwarded.call.target)
            self.answer(forwarded, broken=False)
        self.assertThat(targets, Equals(every))

    def test_single_broken_answers_eject_nobody(self) -> None:
        for _ in range(20):
            for broken in (True, True, False):
                forwarded = self.send()
                self.answer(forwarded, broken=broken)
        broken = BrokenAnswers()
        self.assertThat([broken.add(timedelta()) for _ in range(3)], Equals([False, False, True]))
        self.assertThat(broken.ejected(FIRST_EJECTION), Equals(False))
        self.assertThat(broken.add(FIRST_EJECTION), Equals(True))
        self.assertThat(broken.ejected(FIRST_EJECTION * 2.5), Equals(True))
