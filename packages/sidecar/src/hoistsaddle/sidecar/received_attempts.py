"""What became of the attempts that reached this sidecar and may not be repeated: their entries may ask once more.

An entry whose connection broke doesn't know whether its attempt arrived. Asked by the attempt's id, this life of the
sidecar knows: it waits or runs here, was answered, or never came. One that never came is shut out by the asking, so
that bytes of it that still lie in an old connection's socket can't run later.
"""

from collections import OrderedDict
from datetime import timedelta

from hoistsaddle.rpc.messages import ForwardAnswer

# Answers are kept this long for an entry that didn't hear them: a new connection and a way there and back.
ANSWER_SPAN = timedelta(seconds=2)
# And so many bytes of them at the most: an entry that asks for a lost one is told that its end isn't known.
MOST_BYTES = 2_000_000
# Attempts that came are known past their time by this much. An entry believes "never came" only within that time.
PAST_END = timedelta(seconds=2)
# Attempts that are shut out stay so for longer than a kernel goes on sending what a closed connection left behind.
SHUT_SPAN = timedelta(minutes=5)
MOST_TAKEN = 20000


class ReceivedAttempts:
    def __init__(self) -> None:
        # Attempts that came here, and those that were shut out before they did, to when they may be forgotten.
        self.attempts: OrderedDict[str, timedelta] = OrderedDict()
        self.shut: OrderedDict[str, timedelta] = OrderedDict()
        self.answers: OrderedDict[str, tuple[timedelta, ForwardAnswer]] = OrderedDict()
        self.octets = 0
        # Until then not all that came is known.
        self.gaps_until = timedelta()

    def take(self, send: str, *, ends: timedelta, now: timedelta) -> bool:
        """Notes one that came; False for one that came before or was shut out."""
        if send in self.attempts or send in self.shut:
            return False
        _forget(self.attempts, now)
        if len(self.attempts) >= MOST_TAKEN:
            _, until = self.attempts.popitem(last=False)
            self.gaps_until = max(self.gaps_until, until)
        self.attempts[send] = ends + PAST_END
        return True

    def shut_out(self, send: str, *, now: timedelta) -> bool:
        """Whether it surely never came here, and never will be let in: False where that isn't known."""
        if send in self.shut:
            return True
        _forget(self.shut, now)
        # What was promised is never forgotten before its time: with no room for it, no promise.
        if send in self.attempts or now < self.gaps_until or len(self.shut) >= MOST_TAKEN:
            return False
        self.shut[send] = now + SHUT_SPAN
        return True

    def answered(self, answer: ForwardAnswer, *, now: timedelta) -> None:
        self.octets += len(answer.body)
        self.answers[answer.send] = (now + ANSWER_SPAN, answer)
        while self.answers:
            until, oldest = next(iter(self.answers.values()))
            if until > now and self.octets <= MOST_BYTES:
                break
            self.answers.popitem(last=False)
            self.octets -= len(oldest.body)

    def answer_of(self, send: str) -> ForwardAnswer | None:
        kept = self.answers.get(send)
        return None if kept is None else kept[1]


def _forget(attempts: OrderedDict[str, timedelta], now: timedelta) -> None:
    # Times differ little from one to the next: what is over waits for what came before it, no longer.
    while attempts and next(iter(attempts.values())) <= now:
        attempts.popitem(last=False)
