"""Holding a child's poll, the same at a root and at a relay."""

import asyncio
from datetime import timedelta

from hoistsaddle.common.clock import milliseconds
from hoistsaddle.membership.relay import Relay
from hoistsaddle.rpc.messages import PollAnswer, PollCall
from hoistsaddle.rpc.runtime import Runtime

LONG_POLL_TIMEOUT = milliseconds(150)


async def answer_long_poll(
    *, runtime: Runtime, relay: Relay, news: asyncio.Condition, call: PollCall, hold: timedelta = LONG_POLL_TIMEOUT
) -> PollAnswer:
    """A child that knows everything is held until there is news, or for a short while."""
    arrived = runtime.now()
    if relay.is_up_to_date(call):
        try:
            async with asyncio.timeout(hold.total_seconds()), news:
                await news.wait_for(lambda: not relay.is_up_to_date(call))
        except TimeoutError:
            pass
    now = runtime.now()
    return relay.answer(call, now=now, held=now - arrived)
