"""Whether a sidecar may use its configuration: by its lease, or by evidence that the core is unavailable."""

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
        """Return why a request is rejected this long after the configuration was confirmed; None if it is forwarded."""
        self.bench.timestamp = self.confirmed_at + timedelta(seconds=seconds)
        self.bench.health(NAME)
        ticket = self.bench.ask("/read/x", ingress=NAME)
        reply = self.bench.replies.get(ticket)
        return None if reply is None else reply.error.kind

    def test_a_configuration_is_used_up_to_its_maximum_age_only(self) -> None:
        self.assertThat(self.ask_after(2.0), Is(None))
        self.assertThat(self.ask_after(2.01), Equals(ErrorKind.LEASE_LAPSED))

    def test_a_configuration_is_used_while_the_core_is_known_to_be_unavailable(self) -> None:
        self.core.freshness.core_absent(self.confirmed_at + timedelta(seconds=5))
        self.assertThat(self.ask_after(7.0), Is(None))
        self.assertThat(self.ask_after(7.01), Equals(ErrorKind.LEASE_LAPSED))

    def test_older_evidence_does_not_replace_newer(self) -> None:
        self.core.freshness.core_absent(self.confirmed_at - timedelta(seconds=5))
        self.assertThat(self.ask_after(2.0), Is(None))

    def test_the_readiness_check_uses_the_same_limit(self) -> None:
        self.assertThat(self.core.ready(), Is(None))
        self.ask_after(2.01)
        self.assertThat(self.core.ready().kind, Equals(ErrorKind.LEASE_LAPSED))
