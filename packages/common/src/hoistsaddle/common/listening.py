"""Listening at an address that another process may be about to leave."""

import asyncio
import errno
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import TypeVar

from loguru import logger

from hoistsaddle.common.backoff import ExponentialBackoff
from hoistsaddle.common.clock import milliseconds, monotonic_now

PAUSE_LEAST = milliseconds(50)
PAUSE_MOST = timedelta(seconds=1)
# Whoever had the address before this process is gone by then, or stays.
MAX_WAIT = timedelta(seconds=20)

_Listener = TypeVar("_Listener")


async def listen_once_free(
    listen: Callable[[], Awaitable[_Listener]], *, address: str, within: timedelta = MAX_WAIT
) -> _Listener:
    """Listens, and tries again for a while if the address is still taken.

    Args:
        listen: Opens the listener; raises OSError and leaves nothing behind where it can't.
        address: For the log.
        within: How long a taken address is waited for.

    Raises:
        OSError: The address can't be listened at, or is taken for longer.
    """
    pause = ExponentialBackoff(least=PAUSE_LEAST, most=PAUSE_MOST)
    until = monotonic_now() + within
    while True:
        try:
            return await listen()
        except OSError as problem:
            if problem.errno != errno.EADDRINUSE or monotonic_now() >= until:
                raise
            if not pause.failing:
                logger.warning(
                    "{} is taken; waiting up to {:.0f} s: end the process that has it", address, within.total_seconds()
                )
            pause.failed(now=monotonic_now())
            await asyncio.sleep(pause.delay.total_seconds())
