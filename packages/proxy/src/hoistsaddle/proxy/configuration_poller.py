"""Keeps a proxy's copy of the configuration and its lease up to date by long polls up the distribution tree."""

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

# A poll that was given up is waited for this many timeouts in all, and so many of them at once.
LATE_POLL_TIMEOUTS = 4
MAX_LATE_POLLS = 2
# What a poll came to: the lease was renewed, nothing is newer there, or no answer came.
RENEWED = "renewed"
SAME = "same"
MISSED = "missed"


class ConfigurationPoller:
    """Polls the tree's parent, and the others above it while that gives nothing new."""

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
        """Begin with the first parent.

        Args:
            runtime: clock and connections.
            counters: what operators read.
            core: whose view is the configuration in force here.
            relay: the copy of the configuration, which children poll in turn.
            parent: the address to poll before the parents are known.
            parents: gives the addresses to poll, the tree's parent first.
            on_configuration: takes each newer configuration.
            on_lease: takes the time at which a configuration was confirmed.
            on_refusal: takes a parent's address, its answer without a configuration, and when it was asked.
            backoff: between two rounds over all parents that gave nothing.
            timeout: of one poll.
            max_same_answers: how many answers in a row that renew nothing a parent may give before it is left.
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
        # Polls whose timeout is over and whose answers may still come.
        self.late_polls: set[asyncio.Task] = set()
        # The parent whose configuration was taken last, and the one whose was refused as older.
        self._fed_by = ""
        self._older_from = ""
        self._older_reported = False

    async def run(self) -> None:
        """Poll for as long as the process runs."""
        turn, same = 0, 0
        while True:
            parents = self._parents()
            # The tree's parent first; each failure, or a second answer that renews nothing, moves on towards the roots.
            self.parent = parents[turn % len(parents)]
            outcome = await self.poll(self.parent)
            if outcome == RENEWED:
                turn, same = 0, 0
                self._backoff.reset()
                continue
            if outcome == SAME and same < self._max_same_answers:
                # Once is the rhythm of two held polls, the parent's and this one. Moving on then brought half of all
                # polls of a deep tree to its roots.
                same += 1
                continue
            turn, same = turn + 1, 0
            if turn % len(parents) == 0:
                # All were polled, and nobody knows anything newer.
                self._backoff.failed(now=self._runtime.now())
            self._counters.add("news.polls_paused")
            await asyncio.sleep(self._backoff.delay.total_seconds())

    async def poll(self, address: str) -> str:
        """Poll one parent, as missed once its timeout is over. Its answer still counts if it comes later.

        On a link where packets wait longer than a timeout no answer would ever count otherwise.
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
            Whether that renewed the lease, brought nothing newer, or failed.
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
            self._refuse_older(address, answer)
            return SAME
        before = self._relay.lease_start
        if self._relay.accept_answer(answer, sent=sent):
            self._take_configuration(address, answer)
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

    def _take_configuration(self, address: str, answer: PollAnswer) -> None:
        settings = self._core.settings
        view = read_view(
            revision=self._relay.copy.revision,
            items=self._relay.copy.items,
            node=settings.name,
            zone=settings.zone,
            before=self._core.view,
        )
        self._counters.add("news.taken")
        self._older_from = ""
        if self._fed_by != address:
            self._fed_by = address
            self._counters.record_event(
                "fed by",
                parent=address,
                revision=answer.revision,
                epoch=answer.epoch,
                age_milliseconds=round(answer.lease_age.total_seconds() * 1000),
            )
        self._on_configuration(view)

    def _refuse_older(self, address: str, answer: PollAnswer) -> None:
        """Take nothing of a parent whose configuration was overtaken here; report it at its second time in a row."""
        self._counters.add("news.older_refused")
        if self._older_from != address:
            # Once is a parent that hears of a change a moment later.
            self._older_from, self._older_reported = address, False
        elif not self._older_reported:
            self._older_reported = True
            self._counters.record_event(
                "older news refused",
                parent=address,
                revision=answer.revision,
                epoch=answer.epoch,
                held_revision=self._relay.copy.revision,
                held_epoch=self._relay.epoch,
            )
