"""The market: how old its replica's state may be said to be."""

import random
from datetime import timedelta
from types import SimpleNamespace

from testtools import TestCase
from testtools.matchers import Equals, Is

from hoistsaddle.raft.core import LEADER, RaftCore
from hoistsaddle.raft.events import Boot, CallArrived, Mark, Pace, Synced, Ticked
from hoistsaddle.registry.controller import ControllerRegistry
from hoistsaddle.rpc.messages import FetchCall
from hoistsaddle.statemachine.commands import LEVEL
from hoistsaddle.statemachine.state import found_state


def seconds(amount: float) -> timedelta:
    return timedelta(seconds=amount)


class Freshness(TestCase):
    """After a power loss of the whole core a leader's state is its checkpoint's until it has committed something."""

    def heard(self, core: RaftCore, now: timedelta) -> timedelta | None:
        bourse = SimpleNamespace(
            warehouse=SimpleNamespace(shell=SimpleNamespace(core=core)), runtime=SimpleNamespace(now=lambda: now)
        )
        return ControllerRegistry._heard_leader(bourse)

    def leader(self) -> RaftCore:
        voters = {1: "a", 2: "b", 3: "c"}
        state = found_state(mesh="m", voters=voters, operators={}, level=LEVEL)
        core = RaftCore(
            boot=Boot(1, "a", 4, None, tuple(voters.items()), "m", checkpoint=Mark(0, 0), state=state),
            replicas=(1, 2, 3),
            pace=Pace(),
            seed=random.Random(1),
            now=seconds(0),
        )
        core.standing, core.leader = LEADER, 1
        core.epoch = 5
        core.granted = {(1, "a"), (2, "b")}
        core.trial = False
        core._count_ballots()
        return core

    def test_a_new_leader_is_not_fresh_before_its_epoch_has_committed(self) -> None:
        core = self.leader()
        now = seconds(0.1)
        call = FetchCall("m", 2, "b", 5, 1, 0, 0, True, LEVEL)
        core.handle(CallArrived(1, call), now=now)
        # A follower fetches, so a majority follows; but nothing of this epoch is committed yet.
        self.assertThat(self.heard(core, now), Is(None))
        core.handle(Synced(core.sequence), now=now)
        core.handle(CallArrived(2, call._replace(fetch_offset=2, fetch_epoch=5)), now=now)
        core.handle(Ticked(), now=now)
        self.assertThat(core.state.epoch, Equals(5))
        self.assertThat(self.heard(core, now), Equals(now))

    def test_a_follower_is_not_fresh_before_it_has_applied_the_epoch(self) -> None:
        core = self.leader()
        core.standing, core.leader, core.heard_leader = "follower", 2, seconds(1)
        self.assertThat(self.heard(core, seconds(1)), Is(None))
        core.state = core.state._replace(epoch=5)
        self.assertThat(self.heard(core, seconds(1)), Equals(seconds(1)))
