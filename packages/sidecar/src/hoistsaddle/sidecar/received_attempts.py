"""The outcomes of non-idempotent attempts that reached this sidecar, kept for follow calls of their senders.

A sidecar whose connection broke doesn't know whether its attempt arrived. This incarnation knows by the attempt's id
whether it is queued or running here, was answered, or never arrived. A follow call about an attempt that never arrived
bars it, so that its bytes, which may still be in the socket buffer of an old connection, can't run later.
"""

from collections import OrderedDict
from datetime import timedelta

from hoistsaddle.rpc.messages import ForwardAnswer

# Answers are kept this long for a sender that didn't receive them: time for a new connection and a round trip.
ANSWER_RETENTION = timedelta(seconds=2)
# The most bytes of kept answers, heads and bodies. The outcome of an attempt whose answer was dropped is unknown.
MAX_ANSWER_BYTES = 2_000_000
# Received attempts are remembered this long past their deadline; senders rely on "never arrived" up to the deadline.
ATTEMPT_RETENTION = timedelta(seconds=2)
# Attempts stay barred for longer than a kernel keeps retransmitting the data of a closed connection.
BARRED_RETENTION = timedelta(minutes=5)
# The most attempts that are remembered as received, and likewise as barred.
MAX_ATTEMPTS = 20000


class ReceivedAttempts:
    """Ids of received attempts and of barred ones, and the newest answers."""

    def __init__(self) -> None:
        # When each id may be forgotten.
        self.attempts: OrderedDict[str, timedelta] = OrderedDict()
        self.barred: OrderedDict[str, timedelta] = OrderedDict()
        self.answers: OrderedDict[str, tuple[timedelta, ForwardAnswer]] = OrderedDict()
        self.answer_bytes = 0
        # Until then the record is incomplete: received attempts were forgotten early, for lack of space.
        self.incomplete_until = timedelta()

    def receive(self, attempt_id: str, *, deadline: timedelta, now: timedelta) -> bool:
        """Record the arrival of an attempt.

        Returns:
            False if it arrived before or is barred, so that it must not run.
        """
        if attempt_id in self.attempts or attempt_id in self.barred:
            return False
        _forget_expired(self.attempts, now)
        if len(self.attempts) >= MAX_ATTEMPTS:
            _, until = self.attempts.popitem(last=False)
            self.incomplete_until = max(self.incomplete_until, until)
        self.attempts[attempt_id] = deadline + ATTEMPT_RETENTION
        return True

    def bar(self, attempt_id: str, *, now: timedelta) -> bool:
        """Bar an attempt that never arrived from running later.

        Returns:
            True if it certainly never arrived and won't be admitted; False if that isn't certain.
        """
        if attempt_id in self.barred:
            return True
        _forget_expired(self.barred, now)
        # Barred attempts are never forgotten early, so with a full table no more can be barred.
        if attempt_id in self.attempts or now < self.incomplete_until or len(self.barred) >= MAX_ATTEMPTS:
            return False
        self.barred[attempt_id] = now + BARRED_RETENTION
        return True

    def answered(self, answer: ForwardAnswer, *, now: timedelta) -> None:
        """Keep the answer to an attempt, within the retention time and size."""
        self.answer_bytes += len(answer.headers) + len(answer.body)
        self.answers[answer.attempt_id] = (now + ANSWER_RETENTION, answer)
        while self.answers:
            until, oldest = next(iter(self.answers.values()))
            if until > now and self.answer_bytes <= MAX_ANSWER_BYTES:
                break
            self.answers.popitem(last=False)
            self.answer_bytes -= len(oldest.headers) + len(oldest.body)

    def answer_of(self, attempt_id: str) -> ForwardAnswer | None:
        """Return the answer to an attempt, if it is still kept."""
        kept = self.answers.get(attempt_id)
        return None if kept is None else kept[1]


def _forget_expired(attempts: OrderedDict[str, timedelta], now: timedelta) -> None:
    # In order of insertion: budgets differ little, so an expired entry is kept only a little longer by those before it.
    while attempts and next(iter(attempts.values())) <= now:
        attempts.popitem(last=False)
