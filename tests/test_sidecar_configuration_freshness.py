"""Whether a sidecar acts on its configuration: by its lease, or by evidence that the core is away."""

from datetime import timedelta

from testtools import TestCase
from testtools.matchers import Equals, Is

from hoistsaddle.common.errors import ErrorKind
from sidecar_bench import SidecarBench

NAME = "s-1"


class Freshness(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.bench = SidecarBench(NAME)
        self.bench.leased = False
        self.core = self.bench.cores[NAME]
        self.confirmed_at = self.bench.timestamp

    def ask_after(self, seconds: float) -> ErrorKind | None:
        """Why a request is refused so long after the configuration was confirmed; None if it goes on to a server."""
        self.bench.timestamp = self.confirmed_at + timedelta(seconds=seconds)
        self.bench.health(NAME)
        ticket = self.bench.ask("/read/x", ingress=NAME)
        reply = self.bench.replies.get(ticket)
        return None if reply is None else reply.error.kind

    def test_up_to_the_span_of_a_change_it_is_used_and_then_not(self) -> None:
        self.assertThat(self.ask_after(2.0), Is(None))
        self.assertThat(self.ask_after(2.01), Equals(ErrorKind.LEASE_LAPSED))

    def test_it_is_used_for_as_long_as_the_core_is_known_to_be_away(self) -> None:
        self.core.freshness.core_absent(self.confirmed_at + timedelta(seconds=5))
        self.assertThat(self.ask_after(7.0), Is(None))
        self.assertThat(self.ask_after(7.01), Equals(ErrorKind.LEASE_LAPSED))

    def test_older_evidence_makes_nothing_older(self) -> None:
        self.core.freshness.core_absent(self.confirmed_at - timedelta(seconds=5))
        self.assertThat(self.ask_after(2.0), Is(None))

    def test_the_readiness_check_says_the_same(self) -> None:
        self.assertThat(self.core.ready(), Is(None))
        self.ask_after(2.01)
        self.assertThat(self.core.ready().kind, Equals(ErrorKind.LEASE_LAPSED))
