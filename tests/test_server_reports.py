"""Tests of health reports that arrive late, arrive twice, or come from a server instance that has ended."""

import itertools
import random

from testtools import TestCase
from testtools.matchers import Equals

from hoistsaddle.proxy.messages import Announce
from hoistsaddle.proxy.server_reports import (
    MAX_FORMER,
    REPORTS_TO_CONTRADICT_RECORD,
    REPORTS_TO_RETURN,
    ServerReports,
)
from hoistsaddle.statemachine.state import GONE
from sidecar_bench import SidecarBench


class Reports(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.reports = ServerReports()

    def take(self, *reports: tuple[str, int]) -> list[bool]:
        return [self.reports.accept(instance, sequence=sequence) for instance, sequence in reports]

    def test_a_later_number_is_accepted_and_an_earlier_one_is_not(self) -> None:
        self.assertThat(self.take(("a", 3), ("a", 4), ("a", 3), ("a", 4)), Equals([True, True, False, True]))

    def test_an_instance_recorded_as_gone_has_to_report_more_often_than_late_reports_can(self) -> None:
        self.reports.recorded_gone("a")
        accepted = self.take(*(("a", number) for number in range(7, 7 + REPORTS_TO_CONTRADICT_RECORD)))
        self.assertThat(accepted, Equals([False] * (REPORTS_TO_CONTRADICT_RECORD - 1) + [True]))

    def test_a_new_instance_is_accepted_immediately_though_the_log_records_another_one_as_gone(self) -> None:
        self.reports.recorded_gone("a")
        self.assertThat(self.take(("b", 1), ("a", 9), ("b", 2)), Equals([True, False, True]))

    def test_the_log_does_not_overrule_an_instance_that_reports_here(self) -> None:
        self.take(("a", 7))
        self.reports.recorded_gone("a")
        self.assertThat(self.take(("a", 8)), Equals([True]))

    def test_reports_without_numbers_are_all_accepted(self) -> None:
        self.assertThat(self.take(("a", 0), ("a", 0)), Equals([True, True]))

    def test_no_report_is_accepted_after_the_sign_off_regardless_of_its_number(self) -> None:
        self.take(("a", 3))
        self.reports.sign_off("a")
        self.assertThat(self.take(("a", 4), ("a", 900), ("b", 1)), Equals([False, False, True]))

    def test_a_sign_off_may_arrive_before_any_report(self) -> None:
        self.reports.sign_off("a")
        self.assertThat((self.take(("a", 9)), self.reports.has_signed_off("a")), Equals(([False], True)))

    def test_a_new_instance_is_accepted_immediately_and_the_former_one_is_not(self) -> None:
        self.assertThat(self.take(("a", 70), ("b", 1), ("a", 71), ("b", 2)), Equals([True, True, False, True]))

    def test_late_reports_of_a_former_instance_are_not_accepted_while_the_current_one_reports(self) -> None:
        self.take(("a", 1), ("b", 1))
        alternating = itertools.chain.from_iterable((("a", number), ("b", number)) for number in range(2, 9))
        self.assertThat(self.take(*alternating), Equals([False, True] * 7))

    def test_an_instance_that_a_late_report_displaced_returns(self) -> None:
        self.take(("b", 5), ("a", 9))
        later = [("b", number) for number in range(6, 6 + REPORTS_TO_RETURN)]
        self.assertThat(self.take(*later), Equals([False] * (REPORTS_TO_RETURN - 1) + [True]))

    def test_an_assumed_instance_is_replaced_like_one_that_reported(self) -> None:
        self.reports.assume("a")
        self.assertThat(self.take(("b", 1), ("a", 8)), Equals([True, False]))
        self.reports.assume("c")
        self.assertThat(self.reports.current, Equals("b"))

    def test_the_number_of_kept_instances_is_bounded(self) -> None:
        for number in range(MAX_FORMER * 3):
            self.reports.accept(f"i-{number}", sequence=1)
            self.reports.sign_off(f"i-{number}")
        self.assertThat(len(self.reports._former) <= MAX_FORMER, Equals(True))
        self.assertThat(len(self.reports._signed_off), Equals(MAX_FORMER))

    def test_in_any_order_of_arrival_a_signed_off_instance_is_never_current_again(self) -> None:
        print("orders drawn with seeds 0 to 199")
        for seed in range(200):
            rng = random.Random(seed)
            reports = ServerReports()
            calls = [("a", number) for number in range(1, 6)] + [("off", 0)] + [("b", number) for number in range(1, 6)]
            rng.shuffle(calls)
            signed_off = False
            for instance, sequence in calls:
                if instance == "off":
                    reports.sign_off("a")
                    signed_off = True
                    continue
                accepted = reports.accept(instance, sequence=sequence)
                self.assertThat(accepted and signed_off and instance == "a", Equals(False), f"seed {seed}: {calls}")


class Events(TestCase):
    def test_a_server_that_keeps_reporting_after_its_sign_off_is_announced_once(self) -> None:
        bench = SidecarBench("s-1")
        for _ in range(5):
            bench.health("s-1", state=GONE)
        ignored = [
            each for _, each in bench.commands if isinstance(each, Announce) and each.kind == "late report ignored"
        ]
        self.assertThat(len(ignored), Equals(1))
