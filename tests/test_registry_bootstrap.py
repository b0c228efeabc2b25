"""Automatic bootstrap: who may, when, and what an absent seed or a founder that crashes leaves behind."""

from datetime import timedelta

from testtools import TestCase
from testtools.matchers import Equals, Is

from hoistsaddle.registry.bootstrap import (
    INSPECT_INTERVAL,
    MAX_WAIT_FOR_SEEDS,
    Bootstrap,
    FoundReplicas,
    InspectReplicas,
)
from hoistsaddle.rpc.messages import BootstrapCall, StatusAnswer
from hoistsaddle.statemachine.commands import LEVEL

SEEDS = (11, 12, 13)


def blank(replica: int) -> StatusAnswer:
    return founded(replica, mesh="")


def founded(replica: int, *, mesh: str = "other") -> StatusAnswer:
    return StatusAnswer(mesh, replica, f"life-{replica}", 0, 0, "follower", 0, 0, 1, b"", b"")


class Bench:
    """A bootstrap against modelled replicas, driven by repeated calls."""

    def __init__(
        self,
        *,
        replica: int = 11,
        seeds: tuple[int, ...] = SEEDS,
        cold: bool = True,
        losses: int = 1,
        disks: dict[int, StatusAnswer] | None = None,
        recorded_call: BootstrapCall | None = None,
    ) -> None:
        self.timestamp = timedelta(seconds=5)
        self.bootstrap = Bootstrap(
            replica=replica,
            seeds=seeds,
            may_found=cold,
            losses=losses,
            mesh="mesh",
            now=self.timestamp,
            recorded_call=recorded_call,
        )
        self.disks = {seed: blank(seed) for seed in seeds} if disks is None else disks
        self.commands: list[tuple] = []
        # Those that hear what they are told, and what they were told.
        self.hears = set(seeds)
        self.calls: dict[int, BootstrapCall] = {}

    def go_on(self, *, span: float, own: bool = True) -> "Bench":
        until = self.timestamp + timedelta(seconds=span)
        while self.timestamp < until:
            self.timestamp += timedelta(milliseconds=50)
            for command in self.bootstrap.handle(
                founded=own and self.bootstrap.replica in self.calls, now=self.timestamp
            ):
                self.commands.append(command)
                match command:
                    case InspectReplicas(replicas=replicas):
                        for replica in replicas:
                            if replica in self.disks:
                                self.bootstrap.inspected(self.disks[replica])
                    case FoundReplicas(replicas=replicas, call=call):
                        for replica in replicas:
                            if replica in self.hears:
                                self.calls[replica] = call
                                self.bootstrap.acknowledged.add(replica)
        return self

    def founds(self) -> list[FoundReplicas]:
        return [command for command in self.commands if isinstance(command, FoundReplicas)]


class BootstrapEligibility(TestCase):
    def test_the_first_seed_of_a_cold_start_does(self) -> None:
        bench = Bench().go_on(span=2)
        call = BootstrapCall("mesh", {seed: f"life-{seed}" for seed in SEEDS}, {}, LEVEL)
        self.assertThat(bench.calls, Equals(dict.fromkeys(SEEDS, call)))
        self.assertThat((len(bench.founds()), bench.bootstrap.active), Equals((1, False)))

    def test_nobody_else_does(self) -> None:
        for bench in (Bench(replica=12), Bench(replica=13), Bench(replica=99), Bench(cold=False), Bench(seeds=())):
            bench.go_on(span=10)
            self.assertThat((bench.commands, bench.bootstrap.active), Equals(([], False)))

    def test_a_blank_disk_after_the_cold_start_never_founds(self) -> None:
        # The very first seed, its disk wiped, and nobody else in sight.
        bench = Bench(cold=False, disks={11: blank(11)}).go_on(span=30)
        self.assertThat(bench.commands, Equals([]))

    def test_nothing_is_founded_beside_a_mesh(self) -> None:
        for where in SEEDS:
            disks = {seed: founded(seed) if seed == where else blank(seed) for seed in SEEDS}
            bench = Bench(disks=disks).go_on(span=10)
            self.assertThat((bench.founds(), bench.bootstrap.active), Equals(([], False)), str(where))

    def test_a_founded_disk_of_ones_own_ends_the_duty(self) -> None:
        bench = Bench()
        self.assertThat(bench.bootstrap.handle(founded=True, now=bench.timestamp), Equals([]))
        self.assertThat(bench.bootstrap.active, Is(False))


class BootstrapProcedure(TestCase):
    def test_as_many_voters_as_the_losses_ask_for_of_the_seeds_there_are(self) -> None:
        for losses, voters in ((0, {11}), (1, {11, 12, 13}), (2, {11, 12, 13})):
            bench = Bench(losses=losses).go_on(span=2)
            self.assertThat(set(bench.founds()[0].call.voters), Equals(voters))
        bench = Bench(seeds=(11,), losses=1).go_on(span=2)
        self.assertThat(set(bench.founds()[0].call.voters), Equals({11}))

    def test_a_seed_that_is_down_is_waited_for_and_then_left_out(self) -> None:
        bench = Bench(disks={11: blank(11), 13: blank(13)})
        bench.go_on(span=MAX_WAIT_FOR_SEEDS.total_seconds() - 0.1)
        self.assertThat(bench.founds(), Equals([]))
        # Only the silent one is asked again.
        self.assertThat(bench.commands[-1], Equals(InspectReplicas((12,))))
        bench.go_on(span=1)
        self.assertThat(bench.founds()[0].call.voters, Equals({11: "life-11", 13: "life-13"}))

    def test_nothing_is_founded_before_its_own_disk_is_known(self) -> None:
        bench = Bench(disks={12: blank(12), 13: blank(13)}).go_on(span=20)
        self.assertThat(bench.founds(), Equals([]))

    def test_others_are_asked_no_more_often_than_that(self) -> None:
        bench = Bench(disks={}).go_on(span=3)
        self.assertThat(len(bench.commands) <= timedelta(seconds=3) / INSPECT_INTERVAL, Equals(True))

    def test_whoever_did_not_hear_is_told_again_and_the_same(self) -> None:
        bench = Bench()
        bench.hears = {11, 13}
        bench.go_on(span=1)
        founds = bench.founds()
        self.assertThat(founds[0].replicas, Equals(SEEDS))
        self.assertThat({each.replicas for each in founds[1:]}, Equals({(12,)}))
        self.assertThat(len({each.call.mesh for each in founds}), Equals(1))
        bench.hears = set(SEEDS)
        bench.go_on(span=1)
        self.assertThat((bench.calls[12], bench.bootstrap.active), Equals((founds[0].call, False)))

    def test_one_that_never_hears_is_left_to_the_leader(self) -> None:
        bench = Bench()
        bench.hears = {11, 13}
        bench.go_on(span=MAX_WAIT_FOR_SEEDS.total_seconds() * 3 + 1)
        self.assertThat(bench.bootstrap.active, Is(False))

    def test_an_answer_of_its_own_founding_does_not_end_the_telling(self) -> None:
        bench = Bench()
        bench.hears = {11}
        bench.go_on(span=1)
        bench.bootstrap.inspected(founded(11, mesh="mesh"))
        self.assertThat(bench.bootstrap.active, Is(True))
        bench.bootstrap.inspected(founded(12, mesh="other"))
        self.assertThat(bench.bootstrap.active, Is(False))


class BootstrapCrash(TestCase):
    """The founder wrote to its own disk first: from that it knows whatever it sent to others."""

    def test_before_it_told_anyone_it_founds_anew_on_blank_disks(self) -> None:
        again = Bench().go_on(span=2)
        self.assertThat(set(again.calls), Equals(set(SEEDS)))

    def test_after_it_told_itself_alone_the_next_life_founds_nothing_new(self) -> None:
        first = Bench()
        first.hears = {11}
        first.go_on(span=0.5)
        # Its next life is told of a cold start no more, and even if it were: its own disk is founded.
        disks = {11: founded(11, mesh="mesh"), 12: blank(12), 13: blank(13)}
        for cold in (True, False):
            again = Bench(cold=cold, disks=disks)
            again.bootstrap.handle(founded=True, now=again.timestamp)
            again.go_on(span=10)
            self.assertThat(again.founds(), Equals([]))

    def test_after_it_told_itself_alone_the_next_life_tells_the_others_the_same(self) -> None:
        # Else the others, blank, would never vote, and a founded mesh would never have a leader.
        first = Bench()
        first.hears = {11}
        first.go_on(span=0.5)
        # Whatever its seeds are by now, and though nobody tells it of a cold start any more.
        again = Bench(cold=False, seeds=(12, 13, 14), recorded_call=first.calls[11]).go_on(span=1)
        self.assertThat(again.calls, Equals(dict.fromkeys((12, 13), first.calls[11])))
        self.assertThat(again.bootstrap.active, Is(False))

    def test_after_it_told_another_one_a_blank_next_life_founds_nothing(self) -> None:
        # Its own disk is gone with it, and a second cold start is claimed: the other disk still says so.
        again = Bench(disks={11: blank(11), 12: founded(12, mesh="mesh"), 13: blank(13)}).go_on(span=10)
        self.assertThat(again.founds(), Equals([]))
