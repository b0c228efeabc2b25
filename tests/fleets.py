"""A small deployment of real processes for one test, with clients that can send load."""

import asyncio
import random
import tempfile
from collections.abc import Callable, Coroutine
from pathlib import Path

from hoistsaddle.testbed.deployments import DEPLOYMENTS
from hoistsaddle.testbed.fleet import Fleet
from hoistsaddle.testbed.load import Load

THIMBLE = DEPLOYMENTS["thimble"]


def on_fleet(scenario: Callable[[Fleet, Load], Coroutine], **options) -> Fleet:
    """Runs a scenario on the deployment "thimble" and returns the stopped fleet; `options` go to the Fleet."""

    async def run(folder: Path) -> Fleet:
        async with Fleet(deployment=THIMBLE, folder=folder, **options) as fleet:
            await fleet.start()
            async with Load(
                deployment=THIMBLE, addresses=fleet.client_addresses(), history=fleet.history, seed=random.Random(3)
            ) as load:
                await scenario(fleet, load)
        return fleet

    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(run(Path(folder)))
