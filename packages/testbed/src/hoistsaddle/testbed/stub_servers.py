"""Stub servers: they answer JSON, call each other through their proxies, report health, and record their runs."""

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

HEALTH_INTERVAL_SECONDS = 0.8
HEALTH_TIMEOUT_SECONDS = 1
CALL_TIMEOUT_SECONDS = 10
MAX_BODY_BYTES = 16 * 1024 * 1024
_runs = itertools.count(1)


class StubServer:
    """One server beside one proxy; it can be made to misbehave.

    Attributes:
        address: the address on which it listens for the proxy.
        nested_address: the address at which the proxy accepts this server's own calls.
        misbehaviour: how it spoils its answers: "lose answer", "garbage", "half close", "unmarked" or "truncate";
            empty for correct answers.
        slow_seconds: how long it waits before it answers.
        hold: answers wait for this event, if there is one.
    """

    def __init__(
        self,
        *,
        service: str,
        address: str,
        nested_address: str,
        deployment: Deployment,
        history: History,
        proxy: str = "",
    ) -> None:
        self.service = service
        self.proxy = proxy
        self.address = address
        self.nested_address = nested_address
        self.deployment = deployment
        self.history = history
        self.instance = f"{service}-{secrets.token_hex(3)}"
        self.state = "ready"
        self.misbehaviour = ""
        self.slow_seconds = 0.0
        self.hold: asyncio.Event | None = None
        self.runner: web.AppRunner | None = None
        self.session: aiohttp.ClientSession | None = None
        self.task: asyncio.Task | None = None

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    async def start(self) -> None:
        """Opens the listener and begins to report health."""
        application = web.Application(client_max_size=MAX_BODY_BYTES)
        application.router.add_route("*", "/{tail:.*}", self._serve)
        self.runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.1)
        await self.runner.setup()
        host, _, port = self.address.rpartition(":")
        await web.TCPSite(self.runner, host, int(port), reuse_address=True).start()
        self.session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_SECONDS))
        self.task = asyncio.ensure_future(self._report_health_forever())

    async def report_health(self, state: str | None = None) -> bool:
        """Sends one health report, with a new state if given; returns whether the proxy accepted it."""
        if state is not None:
            self.state = state
            self.history.add(ServerStateChanged(self._now(), self.service, self.instance, state))
        health = {"service": self.service, "instance": self.instance, "address": self.address, "state": self.state}
        try:
            async with self.session.post(
                f"http://{self.nested_address}/hoistsaddle/vitals",
                json=health,
                timeout=aiohttp.ClientTimeout(total=HEALTH_TIMEOUT_SECONDS),
            ) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def _report_health_forever(self) -> None:
        while True:
            await self.report_health()
            await asyncio.sleep(HEALTH_INTERVAL_SECONDS)

    async def vanish(self) -> None:
        """Stops the server without reporting that it leaves."""
        self.history.add(ServerStateChanged(self._now(), self.service, self.instance, "vanished"))
        await self.stop()

    async def stop(self) -> None:
        """Ends the reports and closes the listener."""
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
        content = msgspec.json.decode(body) if body else {}
        nonce = request.query.get("nonce") or content.get("nonce", "")
        run = f"run-{next(_runs)}"
        headers = request.headers
        self.history.add(
            RunStarted(
                timestamp=self._now(),
                request=nonce,
                service=self.service,
                instance=self.instance,
                method=request.method,
                path=request.path,
                key=headers.get("Idempotency-Key", ""),
                client=headers.get("X-Hoistsaddle-Visitor", ""),
                caller=headers.get("X-Hoistsaddle-Caller", ""),
                send=headers.get("X-Hoistsaddle-Send", ""),
                run=run,
                proxy=self.proxy,
                size=len(body),
            )
        )
        self.history.add(AttemptSeen(self._now(), self.service, headers.get("X-Hoistsaddle-Ordinal", "1") != "1"))
        if self.slow_seconds:
            await asyncio.sleep(self.slow_seconds)
        if self.hold is not None:
            await self.hold.wait()
        nested = [
            await self.call_nested(call.method, call.path, nonce)
            for call in self.deployment.nested_calls.get((self.service, request.path), ())
        ]
        answer = {
            "nonce": nonce,
            "service": self.service,
            "instance": self.instance,
            "run": run,
            "inner": nested,
            "padding": "x" * int(content.get("padding", 0)),
        }
        data = msgspec.json.encode(answer)
        if self.misbehaviour:
            return await self._misbehave(request, data)
        self.history.add(RunEnded(run, 200, body_digest_of(data)))
        return web.Response(body=data, content_type="application/json")

    async def _misbehave(self, request: web.Request, data: bytes) -> web.StreamResponse:
        """Sends a spoiled version of an answer with this body."""
        match self.misbehaviour:
            case "lose answer":
                request.transport.abort()
                return web.Response()
            case "garbage":
                return web.Response(body=b"\x00\xff<not json", content_type="application/json")
            case "half close":
                # The server closes its side of the connection in the middle of the answer; the other side stays open.
                response = await self._write_half(request, data)
                request.transport.write_eof()
                return response
            case "unmarked":
                # A complete answer without a length; only the half-closed connection marks its end.
                head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n"
                request.transport.write(head + data)
                request.transport.write_eof()
                return web.Response()
            case "truncate":
                response = await self._write_half(request, data)
                request.transport.close()
                return response
        raise AssertionError(f"no such misbehaviour: {self.misbehaviour}")

    @staticmethod
    async def _write_half(request: web.Request, data: bytes) -> web.StreamResponse:
        """Writes the head of an answer with the full length, and the first half of its body."""
        response = web.StreamResponse(headers={"Content-Length": str(len(data)), "Content-Type": "application/json"})
        await response.prepare(request)
        await response.write(data[: len(data) // 2])
        return response

    async def call_nested(self, method: str, path: str, nonce: str) -> dict:
        """Calls another service through the proxy, and records the result."""
        url = f"http://{self.nested_address}{path}?nonce={nonce}"
        # By this header the proxy tells a call of the present server from one of a former server that still runs.
        headers = {"X-Hoistsaddle-Instance": self.instance}
        asked = self._now()
        try:
            async with self.session.request(method, url, headers=headers) as response:
                data = await response.read()
                outcome = response.headers.get("X-Hoistsaddle-Outcome", "")
                content = msgspec.json.decode(data) if outcome == "answered" and data else {}
                self.history.add(
                    RequestResult(
                        timestamp=self._now(),
                        request=nonce,
                        outcome=outcome,
                        status=response.status,
                        nonce=content.get("nonce", ""),
                        run=content.get("run", ""),
                        repeat=False,
                        listener=self.proxy,
                        body_digest=body_digest_of(data) if outcome == "answered" else "",
                        asked=asked,
                        caller=self.service,
                    )
                )
                return {
                    "path": path,
                    "status": response.status,
                    "outcome": response.headers.get("X-Hoistsaddle-Outcome", ""),
                }
        except (aiohttp.ClientError, TimeoutError, OSError) as problem:
            return {"path": path, "status": 0, "outcome": type(problem).__name__}
