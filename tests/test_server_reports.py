"""Reports of a server's instances that come late, twice, or from an instance that has ended."""

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

    def test_a_later_number_counts_and_an_earlier_one_does_not(self) -> None:
        self.assertThat(self.take(("a", 3), ("a", 4), ("a", 3), ("a", 4)), Equals([True, True, False, True]))

    def test_what_the_log_calls_gone_has_to_report_more_often_than_late_reports_can(self) -> None:
        self.reports.recorded_gone("a")
        counted = self.take(*(("a", number) for number in range(7, 7 + REPORTS_TO_CONTRADICT_RECORD)))
        self.assertThat(counted, Equals([False] * (REPORTS_TO_CONTRADICT_RECORD - 1) + [True]))

    def test_a_new_instance_counts_at_once_though_the_log_calls_another_one_gone(self) -> None:
        self.reports.recorded_gone("a")
        self.assertThat(self.take(("b", 1), ("a", 9), ("b", 2)), Equals([True, False, True]))

    def test_the_log_does_not_contradict_what_reports_here(self) -> None:
        self.take(("a", 7))
        self.reports.recorded_gone("a")
        self.assertThat(self.take(("a", 8)), Equals([True]))

    def test_reports_without_numbers_all_count(self) -> None:
        self.assertThat(self.take(("a", 0), ("a", 0)), Equals([True, True]))

    def test_nothing_counts_after_the_sign_off_however_high_its_number(self) -> None:
        self.take(("a", 3))
        self.reports.sign_off("a")
        self.assertThat(self.take(("a", 4), ("a", 900), ("b", 1)), Equals([False, False, True]))

    def test_a_sign_off_may_come_before_any_report(self) -> None:
        self.reports.sign_off("a")
        self.assertThat((self.take(("a", 9)), self.reports.has_signed_off("a")), Equals(([False], True)))

    def test_a_new_instance_counts_at_once_and_the_former_one_does_not(self) -> None:
        self.assertThat(self.take(("a", 70), ("b", 1), ("a", 71), ("b", 2)), Equals([True, True, False, True]))

    def test_late_reports_of_a_former_instance_never_count_while_the_present_one_reports(self) -> None:
        self.take(("a", 1), ("b", 1))
        between = itertools.chain.from_iterable((("a", number), ("b", number)) for number in range(2, 9))
        self.assertThat(self.take(*between), Equals([False, True] * 7))

    def test_an_instance_that_a_late_report_displaced_comes_back(self) -> None:
        self.take(("b", 5), ("a", 9))
        later = [("b", number) for number in range(6, 6 + REPORTS_TO_RETURN)]
        self.assertThat(self.take(*later), Equals([False] * (REPORTS_TO_RETURN - 1) + [True]))

    def test_one_that_is_assumed_is_followed_like_one_that_reported(self) -> None:
        self.reports.assume("a")
        self.assertThat(self.take(("b", 1), ("a", 8)), Equals([True, False]))
        self.reports.assume("c")
        self.assertThat(self.reports.current, Equals("b"))

    def test_what_is_remembered_stays_bounded(self) -> None:
        for number in range(MAX_FORMER * 3):
            self.reports.accept(f"i-{number}", sequence=1)
            self.reports.sign_off(f"i-{number}")
        self.assertThat(len(self.reports._former) <= MAX_FORMER, Equals(True))
        self.assertThat(len(self.reports._signed_off), Equals(MAX_FORMER))

    def test_in_any_order_of_arrival_a_signed_off_instance_is_never_the_present_one_again(self) -> None:
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
    def test_a_server_that_goes_on_reporting_after_its_sign_off_is_recorded_once(self) -> None:
        bench = SidecarBench("s-1")
        for _ in range(5):
            bench.health("s-1", state=GONE)
        ignored = [
            each for _, each in bench.commands if isinstance(each, Announce) and each.kind == "late report ignored"
        ]
        self.assertThat(len(ignored), Equals(1))
