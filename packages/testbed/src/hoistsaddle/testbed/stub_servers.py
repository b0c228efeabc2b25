"""Stand-in servers: they answer JSON, call each other through their proxies, report health, and record what ran."""

import asyncio
import itertools
import secrets

import aiohttp
import msgspec
from aiohttp import web

from hoistsaddle.testbed.deployments import Deployment
from hoistsaddle.testbed.history import (
    AttemptSeen,
    History,
    RequestResult,
    RunEnded,
    RunStarted,
    ServerStateChanged,
    body_digest_of,
)

HEALTH_SECONDS = 0.8
_runs = itertools.count(1)


class StubServer:
    """One server beside one proxy. Its manners can be spoilt by the tests."""

    def __init__(
        self,
        *,
        service: str,
        address: str,
        inner_door: str,
        deployment: Deployment,
        history: History,
        proxy: str = "",
    ) -> None:
        self.service = service
        self.proxy = proxy
        self.address = address
        self.inner_door = inner_door
        self.deployment = deployment
        self.history = history
        self.instance = f"{service}-{secrets.token_hex(3)}"
        self.state = "ready"
        # "", "lose answer", "garbage", "truncate" or "refuse": what the server does instead of answering well.
        self.misbehaviour = ""
        self.slow_seconds = 0.0
        self.hold: asyncio.Event | None = None
        self.runner: web.AppRunner | None = None
        self.session: aiohttp.ClientSession | None = None
        self.task: asyncio.Task | None = None

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    async def start(self) -> None:
        application = web.Application(client_max_size=16 * 1024 * 1024)
        application.router.add_route("*", "/{tail:.*}", self._serve)
        self.runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.1)
        await self.runner.setup()
        host, _, port = self.address.rpartition(":")
        await web.TCPSite(self.runner, host, int(port), reuse_address=True).start()
        self.session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=10))
        self.task = asyncio.ensure_future(self._report())

    async def tell(self, state: str | None = None) -> bool:
        """One report of health reports, now."""
        if state is not None:
            self.state = state
            self.history.add(ServerStateChanged(self._now(), self.service, self.instance, state))
        health = {"service": self.service, "instance": self.instance, "address": self.address, "state": self.state}
        try:
            async with self.session.post(
                f"http://{self.inner_door}/hoistsaddle/vitals", json=health, timeout=aiohttp.ClientTimeout(total=1)
            ) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def _report(self) -> None:
        while True:
            await self.tell()
            await asyncio.sleep(HEALTH_SECONDS)

    async def vanish(self) -> None:
        """Gone without a word."""
        self.history.add(ServerStateChanged(self._now(), self.service, self.instance, "vanished"))
        await self.stop()

    async def stop(self) -> None:
        if self.task is not None:
            self.task.cancel()
            self.task = None
        if self.runner is not None:
            await self.runner.cleanup()
            self.runner = None
        if self.session is not None:
            await self.session.close()

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        told = msgspec.json.decode(body) if body else {}
        nonce = request.query.get("nonce") or told.get("nonce", "")
        run = f"run-{next(_runs)}"
        headers = request.headers
        self.history.add(
            RunStarted(
                self._now(),
                nonce,
                self.service,
                self.instance,
                request.method,
                request.path,
                headers.get("Idempotency-Key", ""),
                headers.get("X-Hoistsaddle-Visitor", ""),
                headers.get("X-Hoistsaddle-Caller", ""),
                headers.get("X-Hoistsaddle-Send", ""),
                run,
                self.proxy,
                len(body),
            )
        )
        self.history.add(AttemptSeen(self._now(), self.service, headers.get("X-Hoistsaddle-Ordinal", "1") != "1"))
        if self.slow_seconds:
            await asyncio.sleep(self.slow_seconds)
        if self.hold is not None:
            await self.hold.wait()
        inner = []
        for call in self.deployment.nested_calls.get((self.service, request.path), ()):
            inner.append(await self.call_inner(call.method, call.path, nonce))
        answer = {
            "nonce": nonce,
            "service": self.service,
            "instance": self.instance,
            "run": run,
            "inner": inner,
            "padding": "x" * int(told.get("padding", 0)),
        }
        data = msgspec.json.encode(answer)
        match self.misbehaviour:
            case "lose answer":
                request.transport.abort()
                return web.Response()
            case "garbage":
                return web.Response(body=b"\x00\xff<not json", content_type="application/json")
            case "half close":
                # Its own side of the connection ends in the middle of the answer; the other side stays open.
                response = web.StreamResponse(
                    headers={"Content-Length": str(len(data)), "Content-Type": "application/json"}
                )
                await response.prepare(request)
                await response.write(data[: len(data) // 2])
                request.transport.write_eof()
                return response
            case "unmarked":
                # A whole answer whose end only the half-closed connection shows.
                head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n"
                request.transport.write(head + data)
                request.transport.write_eof()
                return web.Response()
            case "truncate":
                response = web.StreamResponse(
                    headers={"Content-Length": str(len(data)), "Content-Type": "application/json"}
                )
                await response.prepare(request)
                await response.write(data[: len(data) // 2])
                request.transport.close()
                return response
        self.history.add(RunEnded(run, 200, body_digest_of(data)))
        return web.Response(body=data, content_type="application/json")

    async def call_inner(self, method: str, path: str, nonce: str) -> dict:
        url = f"http://{self.inner_door}{path}?nonce={nonce}"
        # By this the proxy knows the call for the present server's, and not a former one's that still lives.
        headers = {"X-Hoistsaddle-Instance": self.instance}
        asked = self._now()
        try:
            async with self.session.request(method, url, headers=headers) as response:
                data = await response.read()
                outcome = response.headers.get("X-Hoistsaddle-Outcome", "")
                told = msgspec.json.decode(data) if outcome == "answered" and data else {}
                self.history.add(
                    RequestResult(
                        self._now(),
                        nonce,
                        outcome,
                        response.status,
                        told.get("nonce", ""),
                        told.get("run", ""),
                        False,
                        self.proxy,
                        "",
                        body_digest_of(data) if outcome == "answered" else "",
                        asked,
                        self.service,
                    )
                )
                return {
                    "path": path,
                    "status": response.status,
                    "outcome": response.headers.get("X-Hoistsaddle-Outcome", ""),
                }
        except (aiohttp.ClientError, TimeoutError, OSError) as problem:
            return {"path": path, "status": 0, "outcome": type(problem).__name__}
