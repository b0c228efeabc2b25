"""A process that was told to stop is gone by the end of its grace, whatever hangs."""

import signal
import threading
from datetime import timedelta

from testtools import TestCase
from testtools.matchers import Equals

from hoistsaddle.common.ending import LAST_SHARE, LastResort
from hoistsaddle.sidecar.service import CLOSING_BOUND, CLOSING_SHARE


class Last(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.slept: list[float] = []
        self.left = threading.Event()
        self.grace = timedelta(seconds=8)
        self.last = LastResort(grace=lambda: self.grace, leave=self.left.set, sleep=self.slept.append)

    def test_it_ends_the_process_shortly_before_its_grace_does(self) -> None:
        self.assertThat(self.left.is_set(), Equals(False))
        self.last.arm()
        self.assertThat((self.left.wait(30), self.slept), Equals((True, [8 * LAST_SHARE])))

    def test_the_grace_is_what_the_settings_say_when_the_signal_comes(self) -> None:
        self.grace = timedelta(seconds=2)
        self.last.arm()
        self.assertThat((self.left.wait(30), self.slept), Equals((True, [2 * LAST_SHARE])))

    def test_a_second_signal_starts_no_second_count(self) -> None:
        self.last.arm()
        self.left.wait(30)
        self.last.arm()
        self.assertThat(self.slept, Equals([8 * LAST_SHARE]))

    def test_the_signal_arms_it_and_still_stops_the_process(self) -> None:
        told: list[int] = []
        before = signal.signal(signal.SIGUSR2, lambda number, _: told.append(number))
        self.addCleanup(signal.signal, signal.SIGUSR2, before)
        self.last.watch(signal.SIGUSR2)
        signal.raise_signal(signal.SIGUSR2)
        self.assertThat((self.left.wait(30), told), Equals((True, [signal.SIGUSR2])))

    def test_an_orderly_stop_is_over_before_it(self) -> None:
        self.assertThat(1 - CLOSING_SHARE + CLOSING_SHARE * CLOSING_BOUND < LAST_SHARE, Equals(True))
