"""The only large lease of a process has a limit of its own, so that one body, frame or answer can't take all memory."""

from testtools import TestCase
from testtools.matchers import Equals

from hoistsaddle.common.byte_budget import ByteBudget

MEGABYTE = 1024 * 1024


class LoneLease(TestCase):
    """Guards against one large answer or frame without a bound, while there is no other (issue 64)."""

    def test_the_only_large_lease_fits_up_to_half_of_the_free_memory(self) -> None:
        budget = ByteBudget(memory_megabytes=180)
        lease = budget.lease()
        lease.resize(50 * MEGABYTE)
        self.assertThat(lease.fits(), Equals(True))
        lease.resize(50 * MEGABYTE + 1)
        self.assertThat(lease.fits(), Equals(False))

    def test_it_counts_what_others_hold_in_small_leases(self) -> None:
        budget = ByteBudget(memory_megabytes=180)
        lease, small = budget.lease(), budget.lease()
        small.resize(1)
        lease.resize(50 * MEGABYTE)
        self.assertThat(lease.fits(), Equals(False))
