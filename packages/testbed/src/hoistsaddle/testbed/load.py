"""The clients of a fleet: a bounded stream of requests, some repeated with their key, each recorded."""

import asyncio
import random
import secrets
from typing import Any
from urllib.parse import urlencode

import aiohttp
import msgspec

from hoistsaddle.testbed.deployments import Deployment, RequestKind
from hoistsaddle.testbed.history import History, RequestResult, RequestSent, body_digest_of

# A client that got no answer by then gives up.
ANSWER_TIMEOUT_SECONDS = 15
CLIENT_COUNT = 500
# A person presses the button again within so many seconds, and so often although it was answered.
RETRY_SECONDS = 0.5
RETRY_ANSWERED_PROBABILITY = 0.1
NOT_RUN_PAUSE_SECONDS = 0.2
SEND_POLL_SECONDS = 0.01


class Load:
    """Sends requests to the proxies of a fleet.

    Attributes:
        addresses: where the proxies take clients' requests.
        rate: requests a second.
        latencies: seconds until each answer, or until there was none.
        stopping: set to end `run` before its time.
    """

    def __init__(
        self,
        *,
        deployment: Deployment,
        addresses: list[str],
        history: History,
        seed: random.Random,
        rate: float | None = None,
    ) -> None:
        self.deployment = deployment
        self.addresses = addresses
        self.history = history
        self.random = seed
        self.rate = rate or deployment.requests_per_second
        self.tasks: set[asyncio.Task] = set()
        self.latencies: list[float] = []
        self.session: aiohttp.ClientSession | None = None
        self.stopping = False

    async def __aenter__(self) -> "Load":
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
            timeout=aiohttp.ClientTimeout(total=ANSWER_TIMEOUT_SECONDS),
        )
        return self

    async def __aexit__(self, *problem: object) -> None:
        await self.session.close()

    async def run(self, seconds: float) -> None:
        """Sends requests at an even rate for so many seconds, then waits for every answer."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        sent = 0
        while (elapsed := loop.time() - began) < seconds and not self.stopping:
            while sent < elapsed * self.rate:
                sent += 1
                task = asyncio.ensure_future(self._send_with_retry())
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(SEND_POLL_SECONDS)
        while self.tasks:
            await asyncio.gather(*list(self.tasks))

    async def _send_with_retry(self) -> None:
        """One person's request; it is sent again to another proxy after an error, and sometimes without one."""
        request_kinds = self.deployment.request_kinds
        request_kind = self.random.choices(request_kinds, weights=[each.weight for each in request_kinds])[0]
        client = f"visitor-{self.random.randrange(CLIENT_COUNT)}"
        key = secrets.token_hex(8) if request_kind.once else ""
        result = await self.send_request(request_kind=request_kind, client=client, key=key)
        if request_kind.once and (result.outcome != "answered" or self.random.random() < RETRY_ANSWERED_PROBABILITY):
            await asyncio.sleep(self.random.random() * RETRY_SECONDS)
            await self.send_request(request_kind=request_kind, client=client, key=key)

    async def ask_until_run(self, **request: Any) -> RequestResult:
        """Sends a request again for as long as it isn't run: on a busy machine a lease may lapse for a moment."""
        while (result := await self.send_request(**request)).outcome == "not-run":
            await asyncio.sleep(NOT_RUN_PAUSE_SECONDS)
        return result

    async def send_request(
        self,
        *,
        request_kind: RequestKind,
        client: str,
        key: str = "",
        listener: str | None = None,
        nonce: str | None = None,
        body: bytes | None = None,
    ) -> RequestResult:
        """One request of one client, awaited to its end.

        Args:
            request_kind: what is asked for.
            client: who asks.
            key: the idempotency key, if any.
            listener: the address to send it to; that of any proxy by default.
            nonce: the name of the request; made up by default.
            body: sent instead of one that carries the nonce.
        """
        loop = asyncio.get_running_loop()
        # A repeat with the same key carries the same body, so its nonce comes from the key.
        request = secrets.token_hex(6)
        nonce = nonce or (f"key-{key}" if key else request)
        path = f"{request_kind.path}?{urlencode({'nonce': nonce})}"
        if request_kind.once and body is None:
            body = msgspec.json.encode({"nonce": nonce})
        headers = {"Authorization": f"Bearer {client}", "X-Hoistsaddle-Caller": "ledger"}
        if key:
            headers["Idempotency-Key"] = key
        began = loop.time()
        listener = listener or self.random.choice(self.addresses)
        self.history.add(
            RequestSent(began, nonce, request_kind.method, request_kind.path, key, client, listener, len(body or b""))
        )
        result = RequestResult(0.0, nonce, "broken", 0, "", "", False, listener, asked=began)
        try:
            async with self.session.request(
                request_kind.method, f"http://{listener}{path}", headers=headers, data=body
            ) as response:
                data = await response.read()
                result = _result_of(result, response, data)
        except aiohttp.ClientConnectorError:
            result = result._replace(outcome="unreachable")
        except (aiohttp.ClientError, TimeoutError, OSError):
            pass
        self.latencies.append(loop.time() - began)
        result = result._replace(timestamp=loop.time())
        self.history.add(result)
        return result


def _result_of(sent: RequestResult, response: aiohttp.ClientResponse, data: bytes) -> RequestResult:
    """What a client sees of a complete answer; the body of one that can't be decoded tells nothing."""
    result = sent._replace(
        outcome=response.headers.get("X-Hoistsaddle-Outcome", "none"),
        status=response.status,
        repeat="X-Hoistsaddle-Repeat" in response.headers,
        retry_after="Retry-After" in response.headers,
    )
    try:
        content = msgspec.json.decode(data) if data else {}
    except msgspec.DecodeError:
        return result
    if result.outcome == "answered":
        # The nonce is the request's name at the servers: it must be that of the request.
        return result._replace(
            nonce=content.get("nonce", ""), run=content.get("run", ""), body_digest=body_digest_of(data)
        )
    return result._replace(kind=content.get("mishap", {}).get("kind", ""))
