"""Rules of the state machine that keep stale or repeated commands from changing the state.

Reports carry the epoch of a singleton role, an incarnation and a serial; operators' requests carry an id. The tests
guard against a late or repeated report or request that overrides newer state.
"""

from datetime import timedelta

import msgspec
from testtools import TestCase
from testtools.matchers import Equals

from hoistsaddle.statemachine.apply import apply
from hoistsaddle.statemachine.commands import (
    AcquireSingletonRole,
    AdvanceBundle,
    ClaimKey,
    Command,
    CompleteKey,
    DrainServer,
    Outcome,
    RegisterNode,
    RegisterServer,
    ReleaseKey,
    SignBundle,
    SubmitBundle,
)
from hoistsaddle.statemachine.encoding import pack_command
from hoistsaddle.statemachine.snapshots import pack_state, unpack_state
from hoistsaddle.statemachine.state import MAX_BUNDLES, State, initial_state
from hoistsaddle.testbed.deployments import DEPLOYMENTS

TEXT = DEPLOYMENTS["thimble"].first_bundle()


class StateMachine(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.state: State = initial_state(mesh="m", voters={1: "one"}, operators={})
        self.seconds = 0.0

    def apply(self, command: Command, *, after_seconds: float = 0.0) -> Outcome:
        self.seconds += after_seconds
        self.state, outcome = apply(
            self.state,
            offset=self.state.offset + 1,
            epoch=1,
            stamp=timedelta(seconds=self.seconds),
            payload=pack_command(command),
        )
        return outcome

    def server(
        self,
        *,
        state: str = "ready",
        serial: int = 1,
        incarnation: str = "life",
        role_epoch: int = 0,
        instance: str = "i1",
    ) -> Outcome:
        return self.apply(
            RegisterServer("stall-1", "ledger", instance, "at", "a", state, serial, incarnation, role_epoch)
        )

    def test_a_gone_report_of_the_node_monitor_does_not_override_later_reports(self) -> None:
        self.apply(AcquireSingletonRole("warden", "bourse-1", 1))
        self.apply(RegisterNode("stall-1", "stall", "at", "a", "life", "alive"))
        self.server(serial=1)
        self.server(state="winding down", serial=2)
        self.server(state="gone", serial=1, role_epoch=1)
        self.assertThat(self.state.servers["stall-1"].state, Equals("winding down"))
        self.server(state="gone", serial=2, role_epoch=1)
        self.assertThat(self.state.servers["stall-1"].state, Equals("gone"))

    def test_reports_of_a_former_incarnation_do_not_change_the_present_one(self) -> None:
        self.apply(RegisterNode("stall-1", "stall", "at", "a", "second", "alive"))
        self.server(incarnation="second", serial=1)
        self.server(incarnation="first", serial=9, state="gone")
        self.apply(RegisterNode("stall-1", "stall", "at", "a", "first", "gone"))
        self.assertThat(
            (self.state.servers["stall-1"].state, self.state.nodes["stall-1"].state), Equals(("ready", "alive"))
        )

    def test_a_stale_role_epoch_is_rejected(self) -> None:
        self.apply(AcquireSingletonRole("warden", "bourse-1", 1))
        self.assertThat(self.apply(AcquireSingletonRole("warden", "bourse-2", 1)).error, Equals("duty-epoch-old"))
        self.apply(AcquireSingletonRole("warden", "bourse-2", 2))
        self.server()
        self.assertThat(self.server(state="gone", role_epoch=1).error, Equals("duty-epoch-old"))
        self.assertThat(self.state.servers["stall-1"].state, Equals("ready"))

    def test_a_drain_mark_belongs_to_the_instance(self) -> None:
        self.server()
        self.apply(DrainServer("r1", "ada", "stall-1", True))
        self.server(serial=2)
        self.assertThat(self.state.servers["stall-1"].drained_by, Equals("ada"))
        self.server(serial=3, instance="i2")
        self.assertThat(self.state.servers["stall-1"].drained_by, Equals(""))

    def test_a_hold_expires_by_mesh_time(self) -> None:
        claim = ClaimKey("scope", "claim-1", "stall-1", "digest")
        self.assertThat(self.apply(claim).detail["phase"], Equals("granted"))
        self.assertThat(self.apply(claim).detail["phase"], Equals("granted"))
        self.assertThat(self.apply(claim._replace(claim="claim-2")).detail["phase"], Equals("claimed"))
        self.assertThat(self.apply(claim._replace(body_digest="other")).error, Equals("key-other-body"))
        self.assertThat(self.apply(ReleaseKey("scope", "claim-2")).detail["phase"], Equals("kept"))
        self.apply(CompleteKey("scope", "claim-1", 200, {}, b"{}", True))
        self.assertThat(self.apply(ReleaseKey("scope", "claim-1")).detail["phase"], Equals("kept"))
        self.assertThat(self.apply(claim._replace(claim="claim-3"), after_seconds=74).detail["body"], Equals(b"{}"))
        self.assertThat(self.apply(claim._replace(claim="claim-4"), after_seconds=2).detail["phase"], Equals("granted"))
        # An unsettled hold expires after ten minutes and is then removed.
        self.assertThat(
            self.apply(claim._replace(claim="claim-5"), after_seconds=599).detail["phase"], Equals("claimed")
        )
        self.apply(ClaimKey("other", "claim-6", "stall-1", "digest"), after_seconds=10)
        self.assertThat(sorted(self.state.holds), Equals(["other"]))

    def test_unknown_fields_are_ignored_and_unknown_commands_are_rejected(self) -> None:
        def record(payload: bytes) -> Outcome:
            self.state, outcome = apply(
                self.state, offset=self.state.offset + 1, epoch=1, stamp=timedelta(), payload=payload
            )
            return outcome

        tag, fields = msgspec.msgpack.decode(pack_command(ClaimKey("scope", "claim", "stall-1", "digest")))
        newer = {**fields, "colour": "blue"}
        self.assertThat(record(msgspec.msgpack.encode([tag, newer])).detail["phase"], Equals("granted"))
        before = self.state
        # An unknown command isn't skipped: a replica that skipped it would diverge from replicas that apply it.
        unknown = record(msgspec.msgpack.encode(["PaintServer", {"colour": "blue"}]))
        self.assertThat((unknown.error, self.state), Equals(("other-release", before)))
        # A snapshot of an older release lacks the newest fields; they get their defaults.
        older = msgspec.msgpack.decode(pack_state(self.state))
        older["colours"] = [["a", "b"]]
        del older["duties"]
        self.assertThat(unpack_state(msgspec.msgpack.encode(older)), Equals(self.state))

    def test_a_repeated_request_gets_the_first_outcome(self) -> None:
        first = self.apply(SubmitBundle("r1", "ada", TEXT))
        self.assertThat(self.apply(SubmitBundle("r1", "ada", TEXT)), Equals(first))
        self.assertThat(self.apply(SubmitBundle("r2", "ada", TEXT)).error, Equals("bundle-duplicate"))
        signed = self.apply(SignBundle("r3", "ben", 1, first.detail["digest"]))
        self.assertThat(self.apply(SignBundle("r3", "ben", 1, first.detail["digest"])), Equals(signed))
        advanced = self.apply(AdvanceBundle("r4", "ben", 1, 1))
        self.assertThat(self.apply(AdvanceBundle("r4", "ben", 1, 1)), Equals(advanced))
        self.assertThat((self.state.in_force, self.state.rolling), Equals((1, 0)))

    def test_a_snapshot_restores_the_state_and_the_number_of_bundles_is_bounded(self) -> None:
        number = 0
        for number in range(1, MAX_BUNDLES + 20):
            text = TEXT.partition("[[stages]]")[0].replace(
                "number = 1\nbased_on = 0", f"number = {number}\nbased_on = {number - 1}"
            )
            digest = self.apply(SubmitBundle(f"s{number}", "ada", text)).detail["digest"]
            self.apply(SignBundle(f"g{number}", "ben", number, digest))
        self.server()
        self.apply(ClaimKey("scope", "claim", "stall-1", "digest"))
        self.assertThat((self.state.in_force, len(self.state.bundles)), Equals((number, MAX_BUNDLES)))
        unpacked = unpack_state(pack_state(self.state))
        self.assertThat(pack_state(unpacked), Equals(pack_state(self.state)))
        self.assertThat(unpacked, Equals(self.state))
