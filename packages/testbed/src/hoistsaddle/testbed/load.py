"""Stand-in callers: a bounded stream of requests, some repeated with their key, each recorded."""

import asyncio
import random
import secrets
from urllib.parse import urlencode

import aiohttp
import msgspec

from hoistsaddle.testbed.deployments import Ask, Deployment
from hoistsaddle.testbed.history import Asked, Got, History, mark_of


class Load:
    def __init__(
        self,
        *,
        deployment: Deployment,
        doors: list[str],
        history: History,
        seed: random.Random,
        rate: float | None = None,
    ) -> None:
        self.deployment = deployment
        self.doors = doors
        self.history = history
        self.random = seed
        self.rate = rate or deployment.requests_per_second
        self.tasks: set[asyncio.Task] = set()
        self.latencies: list[float] = []
        self.session: aiohttp.ClientSession | None = None
        self.stopping = False

    async def __aenter__(self) -> "Load":
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True), timeout=aiohttp.ClientTimeout(total=15)
        )
        return self

    async def __aexit__(self, *problem) -> None:
        await self.session.close()

    async def run(self, seconds: float) -> None:
        """Asks at an even rate for this long, then waits for every answer."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        asked = 0
        while (spent := loop.time() - began) < seconds and not self.stopping:
            while asked < spent * self.rate:
                asked += 1
                task = asyncio.ensure_future(self._visit())
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(0.01)
        while self.tasks:
            await asyncio.gather(*list(self.tasks))

    async def _visit(self) -> None:
        ask = self.random.choices(self.deployment.asks, weights=[each.weight for each in self.deployment.asks])[0]
        visitor = f"visitor-{self.random.randrange(500)}"
        key = secrets.token_hex(8) if ask.once else ""
        got = await self.ask(ask=ask, visitor=visitor, key=key)
        # People press the button again: at once at another door, or after a mishap.
        if ask.once and (got.outcome != "answered" or self.random.random() < 0.1):
            await asyncio.sleep(self.random.random() * 0.5)
            await self.ask(ask=ask, visitor=visitor, key=key)

    async def insist(self, **needs) -> Got:
        """Asks again, as it is told to, for as long as nothing ran: a busy machine's lease may lapse for a moment."""
        while (got := await self.ask(**needs)).outcome == "not-run":
            await asyncio.sleep(0.2)
        return got

    async def ask(
        self,
        *,
        ask: Ask,
        visitor: str,
        key: str = "",
        door: str | None = None,
        nonce: str | None = None,
        body: bytes | None = None,
    ) -> Got:
        loop = asyncio.get_running_loop()
        request = secrets.token_hex(6)
        # A repeat with the same key carries the same body, so its nonce comes from the key.
        nonce = nonce or (f"key-{key}" if key else request)
        path = f"{ask.path}?{urlencode({'nonce': nonce})}"
        if ask.once and body is None:
            body = msgspec.json.encode({"nonce": nonce})
        headers = {"Authorization": f"Bearer {visitor}", "X-Hoistsaddle-Caller": "ledger"}
        if key:
            headers["Idempotency-Key"] = key
        began = loop.time()
        door = door or self.random.choice(self.doors)
        self.history.add(Asked(began, nonce, ask.method, ask.path, key, visitor, door, len(body or b"")))
        outcome, status, seen, run, repeat, kind, mark, again = "broken", 0, "", "", False, "", "", False
        try:
            async with self.session.request(ask.method, f"http://{door}{path}", headers=headers, data=body) as response:
                data = await response.read()
                outcome, status = response.headers.get("X-Hoistsaddle-Outcome", "none"), response.status
                repeat = "X-Hoistsaddle-Repeat" in response.headers
                again = "Retry-After" in response.headers
                told = msgspec.json.decode(data) if data else {}
                if outcome == "answered":
                    seen, run, mark = told.get("nonce", ""), told.get("run", ""), mark_of(data)
                else:
                    kind = told.get("mishap", {}).get("kind", "")
        except aiohttp.ClientConnectorError:
            outcome = "unreachable"
        except (aiohttp.ClientError, TimeoutError, OSError, msgspec.DecodeError):
            pass
        self.latencies.append(loop.time() - began)
        # The nonce is the request's name at the servers; what came back must be the same one.
        got = Got(loop.time(), nonce, outcome, status, seen, run, repeat, door, kind, mark, began, "", again)
        self.history.add(got)
        return got
