"""Stand-in callers: a bounded stream of requests, some repeated with their key, each recorded."""

import asyncio
import random
import secrets
from urllib.parse import urlencode

import aiohttp
import msgspec

from hoistsaddle.testbed.deployments import Deployment, RequestKind
from hoistsaddle.testbed.history import History, RequestResult, RequestSent, body_digest_of


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
        ask = self.random.choices(
            self.deployment.request_kinds, weights=[each.weight for each in self.deployment.request_kinds]
        )[0]
        client = f"visitor-{self.random.randrange(500)}"
        key = secrets.token_hex(8) if ask.once else ""
        got = await self.ask(ask=ask, client=client, key=key)
        # People press the button again: at once at another door, or after an error.
        if ask.once and (got.outcome != "answered" or self.random.random() < 0.1):
            await asyncio.sleep(self.random.random() * 0.5)
            await self.ask(ask=ask, client=client, key=key)

    async def ask_until_run(self, **needs) -> RequestResult:
        """Asks again, as it is told to, for as long as nothing ran: a busy machine's lease may lapse for a moment."""
        while (got := await self.ask(**needs)).outcome == "not-run":
            await asyncio.sleep(0.2)
        return got

    async def ask(
        self,
        *,
        ask: RequestKind,
        client: str,
        key: str = "",
        listener: str | None = None,
        nonce: str | None = None,
        body: bytes | None = None,
    ) -> RequestResult:
        loop = asyncio.get_running_loop()
        request = secrets.token_hex(6)
        # A repeat with the same key carries the same body, so its nonce comes from the key.
        nonce = nonce or (f"key-{key}" if key else request)
        path = f"{ask.path}?{urlencode({'nonce': nonce})}"
        if ask.once and body is None:
            body = msgspec.json.encode({"nonce": nonce})
        headers = {"Authorization": f"Bearer {client}", "X-Hoistsaddle-Caller": "ledger"}
        if key:
            headers["Idempotency-Key"] = key
        began = loop.time()
        listener = listener or self.random.choice(self.doors)
        self.history.add(RequestSent(began, nonce, ask.method, ask.path, key, client, listener, len(body or b"")))
        outcome, status, seen, run, repeat, kind, body_digest, again = "broken", 0, "", "", False, "", "", False
        try:
            async with self.session.request(
                ask.method, f"http://{listener}{path}", headers=headers, data=body
            ) as response:
                data = await response.read()
                outcome, status = response.headers.get("X-Hoistsaddle-Outcome", "none"), response.status
                repeat = "X-Hoistsaddle-Repeat" in response.headers
                again = "Retry-After" in response.headers
                answer_body = msgspec.json.decode(data) if data else {}
                if outcome == "answered":
                    seen, run, body_digest = (
                        answer_body.get("nonce", ""),
                        answer_body.get("run", ""),
                        body_digest_of(data),
                    )
                else:
                    kind = answer_body.get("mishap", {}).get("kind", "")
        except aiohttp.ClientConnectorError:
            outcome = "unreachable"
        except (aiohttp.ClientError, TimeoutError, OSError, msgspec.DecodeError):
            pass
        self.latencies.append(loop.time() - began)
        # The nonce is the request's name at the servers; what came back must be the same one.
        got = RequestResult(
            loop.time(), nonce, outcome, status, seen, run, repeat, listener, kind, body_digest, began, "", again
        )
        self.history.add(got)
        return got
