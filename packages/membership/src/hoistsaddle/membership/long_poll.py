"""Long polling: a child's poll is answered once there is an update for it; used by roots and relays alike."""

import asyncio
from datetime import timedelta

from hoistsaddle.common.clock import milliseconds
from hoistsaddle.membership.relay import Relay
from hoistsaddle.rpc.messages import PollAnswer, PollCall
from hoistsaddle.rpc.runtime import Runtime

LONG_POLL_TIMEOUT = milliseconds(150)


async def answer_long_poll(
    *, runtime: Runtime, relay: Relay, updated: asyncio.Condition, call: PollCall, hold: timedelta = LONG_POLL_TIMEOUT
) -> PollAnswer:
    """Answers a poll; that of a child that is up to date waits for an update, or until the timeout.

    Args:
        runtime: Provides the time.
        relay: Answers the poll from its copy of the configuration.
        updated: Notified whenever the relay's copy or lease changes.
        call: The child's poll.
        hold: The longest wait.
    """
    arrived = runtime.now()
    if relay.is_up_to_date(call):
        try:
            async with asyncio.timeout(hold.total_seconds()), updated:
                await updated.wait_for(lambda: not relay.is_up_to_date(call))
        except TimeoutError:
            pass
    now = runtime.now()
    return relay.answer(call, now=now, held=now - arrived)
