"""Faults injected into the code, at least one for each checked line of "What must never happen"."""

import contextlib
from collections.abc import Callable
from typing import NamedTuple
from unittest import mock

from hoistsaddle.common.clock import milliseconds
from hoistsaddle.common.errors import MeshError
from hoistsaddle.membership.relay import Relay
from hoistsaddle.proxy import ingress, server_selection
from hoistsaddle.proxy.client_request import ClientRequest
from hoistsaddle.proxy.core import ProxyCore
from hoistsaddle.proxy.ingress import IngressCore
from hoistsaddle.proxy.messages import RequestArrived
from hoistsaddle.proxy.node import ProxyNode
from hoistsaddle.proxy.retry_budget import RetryBudget
from hoistsaddle.proxy.upstream import UpstreamCore
from hoistsaddle.raft import applying
from hoistsaddle.raft.core import RaftCore
from hoistsaddle.raft.disk import Disk
from hoistsaddle.raft.elections import Elections
from hoistsaddle.raft.events import Answer, RaftTimings, Send
from hoistsaddle.raft.replication import Replication
from hoistsaddle.registry.applied_versions import AppliedVersions
from hoistsaddle.statemachine import bundles, fleet, idempotency, revision_history
from hoistsaddle.statemachine.commands import Outcome
from hoistsaddle.store import state_parts
from hoistsaddle.testbed.simulation.catalogue import find_scenario
from hoistsaddle.testbed.simulation.deployment import Scenario


class InjectedFault(NamedTuple):
    """An injected fault: the line whose checker must detect it, and the deployment, scenario and seeds to run."""

    name: str
    line: str
    deployment: str
    scenario: Scenario
    seeds: tuple[int, ...]
    patch: Callable[[], object]


def _only_newest_revision_compared():
    original = revision_history.compare_revision

    def patched(memory, *, revision: int, digest: bytes):
        overtaken = memory is not None and revision < memory.accepted[-1].revision
        return (
            revision_history.RevisionStatus.SUPERSEDED
            if overtaken
            else original(memory, revision=revision, digest=digest)
        )

    return mock.patch("hoistsaddle.statemachine.deduplication.compare_revision", patched)


def _every_claim_granted():
    return mock.patch(
        "hoistsaddle.statemachine.idempotency.claim",
        lambda state, command: (state, Outcome(detail={"phase": "granted"})),
    )


def _uncertain_reported_as_not_run():
    def not_run(self: IngressCore, request: ClientRequest, error: MeshError) -> None:
        self._not_run(request, error)

    return mock.patch.object(IngressCore, "_attempt_uncertain", not_run)


def _answers_swapped():
    kept: dict[str, object] = {}
    original = UpstreamCore.server_answered

    def swapped(self: UpstreamCore, event) -> None:
        # Each answer gets the body of the previous one.
        before = kept.get("event")
        kept["event"] = event
        original(self, event._replace(body=before.body) if before is not None else event)

    return mock.patch.object(UpstreamCore, "server_answered", swapped)


def _target_admits_all():
    return mock.patch.object(UpstreamCore, "_admission_error", lambda self, event: None)


def _inner_calls_without_caller():
    original = IngressCore.request_arrived

    def without_caller(self: IngressCore, event: RequestArrived) -> None:
        original(self, event._replace(caller="") if event.path == "/readings" else event)

    return mock.patch.object(IngressCore, "request_arrived", without_caller)


def _leaving_state_hidden():
    return mock.patch.object(ProxyCore, "server_state", lambda self: "ready" if self.server else "gone")


def _accepted_without_waiting():
    async def return_immediately(self: AppliedVersions, *, revision, proxies, committed) -> dict[str, str]:
        return dict.fromkeys(proxies(), "taken up")

    return mock.patch.object(AppliedVersions, "wait_for_all", return_immediately)


def _bundles_unchecked():
    return mock.patch("hoistsaddle.config.bundle_checks._check", lambda bundle: None)


def _stop_without_finishing():
    async def return_immediately(self: ProxyNode) -> None:
        return None

    return mock.patch.object(ProxyNode, "finish", return_immediately)


def _further_sends_unbounded():
    return mock.patch.object(RetryBudget, "try_spend", lambda self, service, *, now: "share")


def _retry_quota_of_at_least_one():
    original = ingress.retry_quota_of
    return mock.patch.object(ingress, "retry_quota_of", lambda **needs: max(1, original(**needs)))


def _claims_by_scope():
    patches = contextlib.ExitStack()
    patches.enter_context(mock.patch.object(idempotency, "claim", idempotency._claim_by_scope))
    patches.enter_context(mock.patch.object(bundles, "_renames_route_of_held_key", lambda state, number: False))
    return patches


def _clients_compared_by_credentials():
    return mock.patch.object(
        idempotency,
        "_are_distinct_clients",
        lambda hold, command: (
            (hold.identified_by, hold.client_digest) != (command.identified_by, command.client_digest)
        ),
    )


def _selection_ignores_bundle():
    return mock.patch.object(server_selection, "number_of", lambda bundle: 0)


def _newer_records_skipped():
    original = applying.apply

    def skip_unsupported(state, **needs):
        return original(state, **{**needs, "supported": 99})

    patches = contextlib.ExitStack()
    patches.enter_context(mock.patch.object(applying, "apply", skip_unsupported))
    patches.enter_context(mock.patch.object(RaftCore, "halt", lambda self, why: None))
    return patches


def _copies_unchecked():
    original = Relay.accept_answer

    def unverified(self: Relay, answer, *, sent) -> bool:
        return original(self, answer._replace(expected_digests=()), sent=sent)

    return mock.patch.multiple(Relay, accept_answer=unverified, is_intact=lambda self: True)


def _unlimited_core_outage():
    return mock.patch.object(ingress, "MAX_CORE_OUTAGE", milliseconds(100000))


def _inner_listener_names_last_caller():
    original = IngressCore.request_arrived

    def with_server_instance(self: IngressCore, event: RequestArrived) -> None:
        server = self._state.server
        original(self, event._replace(instance=server.instance) if event.caller and server else event)

    return mock.patch.object(IngressCore, "request_arrived", with_server_instance)


def _late_reports_accepted():
    return mock.patch.multiple(
        fleet, _predates_purge=lambda state, command: False, _is_stale_report=lambda *needs: False
    )


def _text_truncated():
    original = state_parts.state_report

    def short(state) -> dict:
        report = original(state)
        return {**report, "texts": {number: text[:-1] for number, text in report["texts"].items()}}

    return mock.patch.object(state_parts, "state_report", short)


def _status_altered_in_transit():
    original = IngressCore.forward_answered

    def altered(self: IngressCore, number: int, answer) -> None:
        original(self, number, answer._replace(status=201) if answer.status == 200 else answer)

    return mock.patch.object(IngressCore, "forward_answered", altered)


def _stale_read_back():
    original = state_parts.state_report
    kept: list[dict] = []

    def first(state) -> dict:
        kept.append(original(state))
        return next((report for report in kept if report["in_force"]), kept[-1])

    return mock.patch.object(state_parts, "state_report", first)


def _slow_elections():
    starts: list[int] = []

    def timings(settings) -> RaftTimings:
        # The first start keeps fast elections, so that the service comes up before it is interrupted.
        starts.append(settings.replica)
        slow = milliseconds(16000) if len(starts) > len(settings.core) else milliseconds(500)
        return RaftTimings(
            election_timeout_min=slow, election_timeout_max=slow * 1.5, checkpoint_records=settings.checkpoint_records
        )

    return mock.patch("hoistsaddle.store.service.timings_of", timings)


def _blank_disks_vote():
    """Disables incarnations: a wiped replica still votes and counts as the voter that it replaced."""
    original_vote_call, original_begin_incarnation = Elections.vote_call, Disk._begin_incarnation

    def unchecked_vote_call(self: Elections, ticket, call) -> None:
        self.core.mesh = self.core.mesh or call.mesh
        original_vote_call(self, ticket, call)

    def begin_incarnation(self: Disk) -> None:
        self.token = lambda size: f"replica-{self.replica}"
        original_begin_incarnation(self)

    patches = contextlib.ExitStack()
    patches.enter_context(mock.patch.object(RaftCore, "is_voter", lambda self: True))
    patches.enter_context(mock.patch.object(Elections, "vote_call", unchecked_vote_call))
    patches.enter_context(mock.patch.object(Disk, "_begin_incarnation", begin_incarnation))
    return patches


def _answered_before_synced():
    original = RaftCore.handle

    def unsynced(self: RaftCore, event, *, now):
        return [
            command._replace(after=0) if isinstance(command, Send | Answer) else command
            for command in original(self, event, now=now)
        ]

    return mock.patch.object(RaftCore, "handle", unsynced)


def _leader_alone_commits():
    original = RaftCore.append

    def counted(self: RaftCore, records) -> None:
        original(self, records)
        self.durable = self.last.offset

    def single(self: Replication) -> None:
        core = self.core
        if core.role == "leader" and core.durable > core.high_watermark:
            core.high_watermark = core.durable
            core.applying.apply_committed()

    patches = contextlib.ExitStack()
    patches.enter_context(mock.patch.object(RaftCore, "append", counted))
    patches.enter_context(mock.patch.object(Replication, "advance", single))
    return patches


INJECTED_FAULTS = (
    InjectedFault(
        "every claim is granted",
        "nothing with a key runs twice",
        "thimble",
        find_scenario("calm"),
        (1,),
        _every_claim_granted,
    ),
    InjectedFault(
        "uncertain is called not run",
        "not run means not run",
        "thimble",
        find_scenario("servers_misbehave"),
        (1,),
        _uncertain_reported_as_not_run,
    ),
    InjectedFault(
        "answers are swapped",
        "every answer is its caller's own and whole",
        "thimble",
        find_scenario("calm"),
        (1,),
        _answers_swapped,
    ),
    InjectedFault(
        "the target's proxy admits all",
        "only what a bundle allows is reached",
        "thimble",
        find_scenario("servers_change"),
        (1, 2, 3),
        _target_admits_all,
    ),
    InjectedFault(
        "inner calls go as clients",
        "callers are told truly",
        "thimble",
        find_scenario("calm"),
        (1,),
        _inner_calls_without_caller,
    ),
    InjectedFault(
        "leaving goes unseen",
        "leaving servers get no new work",
        "thimble",
        find_scenario("servers_change"),
        (1,),
        _leaving_state_hidden,
    ),
    InjectedFault(
        "accepted without waiting",
        "accepted is in force and stays",
        "thimble",
        find_scenario("bundle_while_cut_off"),
        (1, 2, 3),
        _accepted_without_waiting,
    ),
    InjectedFault(
        "bundles are not checked",
        "broken bundles have no effect",
        "thimble",
        find_scenario("broken_bundle"),
        (1,),
        _bundles_unchecked,
    ),
    InjectedFault(
        "stops finish nothing",
        "planned stops drop nothing",
        "thimble",
        find_scenario("rolling_restart"),
        (1, 2, 3),
        _stop_without_finishing,
    ),
    InjectedFault(
        "further sends are unbounded",
        "retries keep their bound",
        "thimble",
        find_scenario("servers_misbehave"),
        (1,),
        _further_sends_unbounded,
    ),
    InjectedFault(
        "a margin of one for each proxy",
        "retries keep their bound",
        "thimble",
        find_scenario("retry_margins_kept"),
        (1, 2),
        _retry_quota_of_at_least_one,
    ),
    InjectedFault(
        "claims by name",
        "nothing with a key runs twice",
        "thimble",
        find_scenario("keys_travel"),
        (1,),
        _claims_by_scope,
    ),
    InjectedFault(
        "other credentials, other client",
        "nothing with a key runs twice",
        "thimble",
        find_scenario("keys_travel"),
        (1,),
        _clients_compared_by_credentials,
    ),
    InjectedFault(
        "judged by the target's stage",
        "what a bundle allows is served",
        "thimble",
        find_scenario("rules_change"),
        (1,),
        _selection_ignores_bundle,
    ),
    InjectedFault(
        "newer records are passed over",
        "what is promised comes true",
        "thimble",
        find_scenario("releases_side_by_side"),
        (1,),
        _newer_records_skipped,
    ),
    InjectedFault(
        "only the newest revision is compared",
        "what is promised comes true",
        "three",
        find_scenario("orders_sent_again"),
        (1,),
        _only_newest_revision_compared,
    ),
    InjectedFault(
        "copies are taken as sent",
        "damage mends and never spreads",
        "thimble",
        find_scenario("copies_damaged"),
        (1, 2, 3),
        _copies_unchecked,
    ),
    InjectedFault(
        "waits for ever",
        "given up means answered at once",
        "thimble",
        find_scenario("isolated"),
        (1,),
        _unlimited_core_outage,
    ),
    InjectedFault(
        "the inner door names whoever came last",
        "callers are told truly",
        "thimble",
        find_scenario("old_process_lives"),
        (1,),
        _inner_listener_names_last_caller,
    ),
    InjectedFault(
        "late reports are taken",
        "read-back is true",
        "thimble",
        find_scenario("replaced_machines_forgotten"),
        (1,),
        _late_reports_accepted,
    ),
    InjectedFault("a byte is lost", "read-back is true", "thimble", find_scenario("calm"), (1,), _text_truncated),
    InjectedFault(
        "the status is altered",
        "every answer is its caller's own and whole",
        "thimble",
        find_scenario("calm"),
        (1,),
        _status_altered_in_transit,
    ),
    InjectedFault(
        "read-back is kept", "read-back is true", "thimble", find_scenario("servers_change"), (1,), _stale_read_back
    ),
    InjectedFault(
        "elections are slow",
        "service returns in time",
        "thimble",
        find_scenario("all_processes_killed"),
        (1,),
        _slow_elections,
    ),
    InjectedFault(
        "blank disks vote",
        "what was agreed stays agreed",
        "three",
        find_scenario("agreed_then_wiped"),
        (1,),
        _blank_disks_vote,
    ),
    InjectedFault(
        "said before it is synced",
        "what was agreed stays agreed",
        "three",
        find_scenario("power_lost"),
        (1, 2),
        _answered_before_synced,
    ),
    InjectedFault(
        "the leader's word alone commits",
        "what was agreed stays agreed",
        "three",
        find_scenario("core_chaos"),
        tuple(range(1, 5)),
        _leader_alone_commits,
    ),
)
