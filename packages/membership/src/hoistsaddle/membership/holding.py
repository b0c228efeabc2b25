"""Holding a child's poll, the same at a root and at a relay."""

import asyncio
from datetime import timedelta

from hoistsaddle.common.clock import milliseconds
from hoistsaddle.membership.relay import Relay
from hoistsaddle.rpc.messages import PollAnswer, PollCall
from hoistsaddle.rpc.runtime import Runtime

POLL_HOLD = milliseconds(150)


async def hold_poll(
    *, runtime: Runtime, relay: Relay, news: asyncio.Condition, call: PollCall, hold: timedelta = POLL_HOLD
) -> PollAnswer:
    """A child that knows everything is held until there is news, or for a short while."""
    arrived = runtime.now()
    if relay.must_wait(call):
        try:
            async with asyncio.timeout(hold.total_seconds()), news:
                await news.wait_for(lambda: not relay.must_wait(call))
        except TimeoutError:
            pass
    now = runtime.now()
    return relay.answer(call, now=now, held=now - arrived)
