"""Keeps a proxy's copy of the configuration and its lease up to date by long polls to its distribution-tree parents."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from returns.result import Success

from hoistsaddle.common.backoff import ExponentialBackoff
from hoistsaddle.common.counters import Counters
from hoistsaddle.membership.relay import Relay
from hoistsaddle.proxy.core_state import CoreState
from hoistsaddle.rpc.messages import AppliedVersion, PollAnswer
from hoistsaddle.rpc.runtime import Runtime
from hoistsaddle.statemachine.view import View, read_view

# A poll that exceeds its timeout is awaited for this many timeouts in all, and at most this many such polls at a time.
LATE_POLL_TIMEOUTS = 4
MAX_LATE_POLLS = 2
# Outcomes of a poll: it renewed the lease, the parent has nothing newer, or no usable answer came.
RENEWED = "renewed"
SAME = "same"
MISSED = "missed"


class ConfigurationPoller:
    """Polls the parent in the distribution tree, and nodes above it while the parent has nothing new."""

    def __init__(
        self,
        *,
        runtime: Runtime,
        counters: Counters,
        core: CoreState,
        relay: Relay,
        parent: str,
        parents: Callable[[], list[str]],
        on_configuration: Callable[[View], None],
        on_lease: Callable[[timedelta], None],
        on_refusal: Callable[[str, PollAnswer, timedelta], None],
        backoff: ExponentialBackoff,
        timeout: timedelta,
        max_same_answers: int,
    ) -> None:
        """Start with the given parent.

        Args:
            runtime: clock and connections.
            counters: counters of the process, which operators read.
            core: its view is the configuration in force at this proxy.
            relay: the local copy of the configuration, which children in the tree poll.
            parent: the address to poll before the parents are known.
            parents: returns the addresses to poll, the parent in the tree first.
            on_configuration: called with each newer configuration.
            on_lease: called with the time at which a configuration was confirmed.
            on_refusal: called with a parent's address, its refusal, and the time of the poll.
            backoff: wait after a round in which no parent had anything new.
            timeout: timeout of one poll.
            max_same_answers: how many successive answers of one parent may renew nothing before the next one is polled.
        """
        self._runtime = runtime
        self._counters = counters
        self._core = core
        self._relay = relay
        self._parents = parents
        self._on_configuration = on_configuration
        self._on_lease = on_lease
        self._on_refusal = on_refusal
        self._backoff = backoff
        self.timeout = timeout
        self._max_same_answers = max_same_answers
        self.parent = parent
        # Notified after each poll that was answered.
        self.polled = asyncio.Condition()
        # Polls that exceeded their timeout and may still be answered.
        self.late_polls: set[asyncio.Task] = set()
        # The parent whose configuration was applied last, and the one whose configuration was last rejected as older.
        self._source_parent = ""
        self._stale_parent = ""
        self._stale_reported = False

    async def run(self) -> None:
        """Poll until the process ends."""
        position, same = 0, 0
        while True:
            parents = self._parents()
            # Start with the parent in the tree. A failed poll, or too many answers that renew nothing, moves on towards
            # the roots.
            self.parent = parents[position % len(parents)]
            outcome = await self.poll(self.parent)
            if outcome == RENEWED:
                position, same = 0, 0
                self._backoff.reset()
                continue
            if outcome == SAME and same < self._max_same_answers:
                # A single answer that renews nothing is normal where the long polls of the parent and of this node
                # overlap. Moving on after it sent half of all polls of a deep tree to its roots.
                same += 1
                continue
            position, same = position + 1, 0
            if position % len(parents) == 0:
                # All parents were polled, and none has anything newer.
                self._backoff.failed(now=self._runtime.now())
            self._counters.add("news.polls_paused")
            await asyncio.sleep(self._backoff.delay.total_seconds())

    async def poll(self, address: str) -> str:
        """Poll one parent, and return MISSED once the timeout is over. A later answer is still applied.

        Otherwise no answer would ever be applied on a link whose queueing delay exceeds the timeout.
        """
        if len(self.late_polls) >= MAX_LATE_POLLS:
            return await self.poll_once(address, within=self.timeout)
        poll = asyncio.ensure_future(self.poll_once(address, within=self.timeout * LATE_POLL_TIMEOUTS))
        await asyncio.wait([poll], timeout=self.timeout.total_seconds())
        if poll.done():
            return poll.result()
        self.late_polls.add(poll)
        poll.add_done_callback(self.late_polls.discard)
        return MISSED

    async def poll_once(self, address: str, *, within: timedelta) -> str:
        """Poll one parent.

        Returns:
            RENEWED, SAME or MISSED.
        """
        sent = self._runtime.now()
        call = self._relay.poll(own=self._applied_version(), now=sent)
        match await self._runtime.rpc_client.call(address, call, within=within):
            case Success(PollAnswer() as answer) if not answer.error:
                pass
            case Success(PollAnswer() as refusal):
                self._on_refusal(address, refusal, sent)
                self._counters.add("news.polls_missed")
                return MISSED
            case _:
                self._counters.add("news.polls_missed")
                return MISSED
        if self._relay.is_older(revision=answer.revision, epoch=answer.epoch):
            self._reject_older(address, answer)
            return SAME
        before = self._relay.lease_start
        if self._relay.accept_answer(answer, sent=sent):
            self._apply_configuration(address, answer)
        lease_start = self._relay.lease_start
        if lease_start is not None:
            self._on_lease(lease_start)
            age = self._runtime.now() - lease_start
            self._counters.gauge("lease.age_milliseconds", age.total_seconds() * 1000)
        async with self.polled:
            self.polled.notify_all()
        return RENEWED if lease_start != before else SAME

    def _applied_version(self) -> AppliedVersion:
        view, settings = self._core.view, self._core.settings
        return AppliedVersion(
            settings.name, view.revision, view.bundle_number, view.refusal, settings.incarnation, view.refused_bundle
        )

    def _apply_configuration(self, address: str, answer: PollAnswer) -> None:
        settings = self._core.settings
        view = read_view(
            revision=self._relay.copy.revision,
            items=self._relay.copy.items,
            node=settings.name,
            zone=settings.zone,
            before=self._core.view,
        )
        self._counters.add("news.taken")
        self._stale_parent = ""
        if self._source_parent != address:
            self._source_parent = address
            self._counters.record_event(
                "fed by",
                parent=address,
                revision=answer.revision,
                epoch=answer.epoch,
                age_milliseconds=round(answer.lease_age.total_seconds() * 1000),
            )
        self._on_configuration(view)

    def _reject_older(self, address: str, answer: PollAnswer) -> None:
        """Reject an older configuration than the local one; report a parent that sends it twice in succession."""
        self._counters.add("news.older_refused")
        if self._stale_parent != address:
            # A single older answer is normal: the parent may receive a change slightly later than this node.
            self._stale_parent, self._stale_reported = address, False
        elif not self._stale_reported:
            self._stale_reported = True
            self._counters.record_event(
                "older news refused",
                parent=address,
                revision=answer.revision,
                epoch=answer.epoch,
                held_revision=self._relay.copy.revision,
                held_epoch=self._relay.epoch,
            )
