"""Readiness checks and the report on the core machines, evaluated from the stores' statuses."""

import asyncio
from datetime import timedelta
from types import SimpleNamespace
from typing import Any, cast

from returns.result import Success
from testtools import TestCase
from testtools.matchers import Equals

from hoistsaddle.registry.core_status import describe_core, describe_readiness, unready_reason
from hoistsaddle.registry.node import Registry
from hoistsaddle.rpc.messages import StatusAnswer


def status(replica: int = 1, *, role: str = "follower", **changes: Any) -> StatusAnswer:
    plain = StatusAnswer("mesh", replica, "life", 3, 2, role, 9, 8, 7, b"{}", b"{}")
    return plain._replace(**changes)


class Readiness(TestCase):
    def test_each_reason_has_its_kind_message_and_remedy(self) -> None:
        for own, fresh, reason in (
            (None, True, ("unreachable", "The store does not answer.", "Start the store, or check its log.", "")),
            (
                status(halted="an unknown record"),
                True,
                ("other-release", "The store has stopped: an unknown record.", "Install the mesh's release.", ""),
            ),
            (
                status(role="catching up"),
                True,
                ("unsure", "The store is catching up.", "Wait until it has caught up and votes.", ""),
            ),
            (
                status(leader=-1),
                True,
                (
                    "no-leader",
                    "The store does not know of a leader.",
                    "Wait, or follow docs/operators/replacing-core-machines.md.",
                    "",
                ),
            ),
            (
                status(unsynced=timedelta(seconds=2.5)),
                True,
                ("disk", "The disk has not synced for 2.5 s.", "Free it.", ""),
            ),
            (
                status(),
                False,
                (
                    "lease-lapsed",
                    "The registry has no fresh lease on the configuration.",
                    "Check the network path to the leader.",
                    "",
                ),
            ),
            (status(), True, None),
            (status(role="leader"), True, None),
        ):
            self.assertThat(unready_reason(own=own, fresh=fresh), Equals(reason), str(own))

    def test_the_answer_names_the_role_and_the_reason(self) -> None:
        self.assertThat(
            describe_readiness(own=status(role="leader"), fresh=True), Equals({"ready": True, "standing": "leader"})
        )
        answer = describe_readiness(own=None, fresh=True)
        self.assertThat((answer["ready"], answer["standing"]), Equals((False, "unreachable")))
        self.assertThat(sorted(answer["why"]), Equals(["field", "kind", "message", "remedy"]))


class Core(TestCase):
    def test_machines_are_reported_under_the_names_of_the_interface(self) -> None:
        self.assertThat(
            describe_core({1: status(role="leader"), 2: None})["machines"],
            Equals(
                {
                    1: {
                        "mesh": "mesh",
                        "incarnation": "life",
                        "epoch": 3,
                        "leader": 2,
                        "standing": "leader",
                        "last_offset": 9,
                        "high_watermark": 8,
                        "begin_offset": 7,
                    },
                    2: {"standing": "unreachable"},
                }
            ),
        )

    def test_a_lost_majority_is_reported_with_its_remedy(self) -> None:
        for roles, lost in (
            (("leader", None, None), None),
            (("follower", "blank", None), "[2, 3]"),
            (("follower", "follower", None), None),
            (("observer", "catching up", "follower"), "[1, 2]"),
        ):
            statuses = {
                place: None if role is None else status(place, role=role) for place, role in enumerate(roles, start=1)
            }
            refused = describe_core(statuses).get("refused")
            message = None if lost is None else f"Replicas {lost} hold no voter's disk, so no majority is left."
            self.assertThat(refused and (refused["kind"], refused["message"]), Equals(lost and ("no-leader", message)))

    def test_a_replica_added_while_calls_are_in_flight_is_left_out(self) -> None:
        stores = {1: "10.0.0.1:1"}

        async def call(address: str, message: tuple, *, within: timedelta) -> Success:
            stores[2] = "10.0.0.2:1"
            return Success(status())

        runtime = SimpleNamespace(rpc_client=SimpleNamespace(call=call))
        registry = cast(Any, SimpleNamespace(stores=stores, node="bourse-1", runtime=runtime))
        self.assertThat(asyncio.run(Registry.store_statuses(registry)), Equals({1: status()}))
