"""What became of the attempts that reached this sidecar and may not be repeated: their senders may ask once more.

A sidecar whose connection broke doesn't know whether its attempt arrived. Asked by the attempt's id, this incarnation
knows: the attempt waits or runs here, was answered, or never arrived. One that never arrived is barred by the
question, so that bytes of it that still lie in an old connection's socket can't run later.
"""

from collections import OrderedDict
from datetime import timedelta

from hoistsaddle.rpc.messages import ForwardAnswer

# Answers are kept this long for a sender that didn't get them: a new connection and a way there and back.
ANSWER_RETENTION = timedelta(seconds=2)
# And so many bytes of them at the most: a sender that asks for a lost one is told that the outcome isn't known.
MAX_ANSWER_BYTES = 2_000_000
# Received attempts are known past their deadline by this much. A sender believes "never arrived" only until then.
ATTEMPT_RETENTION = timedelta(seconds=2)
# Attempts stay barred for longer than a kernel goes on sending what a closed connection left behind.
BARRED_RETENTION = timedelta(minutes=5)
# The most attempts that are remembered of each kind.
MAX_ATTEMPTS = 20000


class ReceivedAttempts:
    """Ids of the attempts that arrived here, of those that are barred, and the newest answers."""

    def __init__(self) -> None:
        # Id to when it may be forgotten.
        self.attempts: OrderedDict[str, timedelta] = OrderedDict()
        self.barred: OrderedDict[str, timedelta] = OrderedDict()
        self.answers: OrderedDict[str, tuple[timedelta, ForwardAnswer]] = OrderedDict()
        self.answer_bytes = 0
        # Until then some attempts that arrived are not known any more.
        self.incomplete_until = timedelta()

    def receive(self, attempt_id: str, *, deadline: timedelta, now: timedelta) -> bool:
        """Note an attempt that arrived.

        Returns:
            False for one that arrived before or is barred: it must not run.
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
        """Keep an attempt that never arrived from running later.

        Returns:
            Whether it surely never arrived and never will be let in; False where that isn't known.
        """
        if attempt_id in self.barred:
            return True
        _forget_expired(self.barred, now)
        # What was promised is never forgotten before its time: with no room for it, no promise.
        if attempt_id in self.attempts or now < self.incomplete_until or len(self.barred) >= MAX_ATTEMPTS:
            return False
        self.barred[attempt_id] = now + BARRED_RETENTION
        return True

    def answered(self, answer: ForwardAnswer, *, now: timedelta) -> None:
        """Keep the answer to an attempt for a while."""
        self.answer_bytes += len(answer.body)
        self.answers[answer.attempt_id] = (now + ANSWER_RETENTION, answer)
        while self.answers:
            until, oldest = next(iter(self.answers.values()))
            if until > now and self.answer_bytes <= MAX_ANSWER_BYTES:
                break
            self.answers.popitem(last=False)
            self.answer_bytes -= len(oldest.body)

    def answer_of(self, attempt_id: str) -> ForwardAnswer | None:
        """Return the answer to an attempt, if it is still kept."""
        kept = self.answers.get(attempt_id)
        return None if kept is None else kept[1]


def _forget_expired(attempts: OrderedDict[str, timedelta], now: timedelta) -> None:
    # Deadlines differ little from one to the next: what has expired waits for what came before it, no longer.
    while attempts and next(iter(attempts.values())) <= now:
        attempts.popitem(last=False)
