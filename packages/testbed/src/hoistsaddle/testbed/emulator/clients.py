"""Clients and servers' own calls: what is asked at a machine's door, and asked again as the platform's page says."""

import asyncio
from collections import deque
from types import SimpleNamespace
from typing import Any

from multidict import CIMultiDict

from hoistsaddle.testbed.emulator.environment import Environment
from hoistsaddle.testbed.emulator.history import RequestResult, RequestSent
from hoistsaddle.testbed.emulator.platform_adapter import adapter
from hoistsaddle.testbed.emulator.scheduled_events import TAKEN
from hoistsaddle.testbed.emulator.servers import Server, digest_of
from hoistsaddle.testbed.emulator.site import ONCE_PER_KEY, REPEATABLE, RequestKind, Route

PROMISES = (408, 421, 429, 503)
NOT_RETRIED = (400, 401, 404, 413, 431)
# A client's node may be silent for so long before a repeatable request goes elsewhere.
UNREAD_TIMEOUT_SECONDS = 1.0


class Call:
    """A request as a door reads it: the parts of aiohttp's request that the doors use."""

    def __init__(self, *, method: str, path: str, headers: list[tuple[str, str]], body: bytes) -> None:
        self.method = method
        self.raw_path = path
        self.path = path.partition("?")[0]
        self.headers = CIMultiDict(headers)
        self.raw_headers = tuple((name.encode(), value.encode()) for name, value in headers)
        self.transport = None
        self.protocol = SimpleNamespace()
        self.body = body

    async def read(self) -> bytes:
        return self.body


class Clients:
    def __init__(self, *, environment: Environment) -> None:
        self.environment = environment
        self.random = environment.random
        # Keys of good answers, to be sent again after the day's last fault.
        self.answered: deque[tuple[RequestKind, Route, str, str]] = deque(maxlen=25)

    async def load(self, *, until: float) -> None:
        environment = self.environment
        request_kinds = environment.day.site.request_kinds
        weights = [request_kind.weight for request_kind in request_kinds]
        while environment.now() < until:
            request_kind = self.random.choices(request_kinds, weights=weights)[0]
            machine = environment.pick_machine(self.random.choice(environment.day.site.zones))
            if machine:
                environment.create_task(self._send_with_retries(request_kind, machine))
            await asyncio.sleep(self.random.expovariate(environment.day.site.rate))

    async def _send_with_retries(self, request_kind: RequestKind, machine: str) -> None:
        environment = self.environment
        route = environment.route_of(request_kind.route)
        key = f"key-{next(environment.counter)}" if route.kind == ONCE_PER_KEY else ""
        path = f"{route.prefix}{next(environment.counter)}"
        until = environment.now() + request_kind.deadline
        for left in range(request_kind.retries, -1, -1):
            result = await self._attempt(request_kind, route, machine, path, key, until)
            if not left or not self._may_retry(route, result):
                break
            remains = until - environment.now()
            # Some don't wait as they are told.
            wait = min(result.retry_after or 0.02, remains / 3) if self.random.random() < 0.9 else 0.0
            await asyncio.sleep(max(0.0, wait))
            if environment.now() >= until:
                return
        if key and result.outcome == "answered" and result.status == 200:
            self.answered.append((request_kind, route, path, key))
        if key and request_kind.again and result.status == 200 and self.random.random() < request_kind.again:
            await asyncio.sleep(self.random.uniform(0.05, 8.0))
            elsewhere = environment.pick_machine(self.random.choice(environment.day.site.zones))
            if elsewhere:
                await self._attempt(
                    request_kind, route, elsewhere, path, key, environment.now() + request_kind.deadline
                )

    @staticmethod
    def _may_retry(route: Route, result: RequestResult) -> bool:
        if result.outcome == "answered" and (result.status < 300 or result.status in NOT_RETRIED):
            return False
        if route.kind in (REPEATABLE, ONCE_PER_KEY):
            return True
        return result.outcome == "unreached" or result.status in PROMISES

    def send_keys_again(self, *, seconds: float) -> None:
        """Each key that was answered shortly before the last fault is sent again, some of them more than once."""

        async def send(request_kind: RequestKind, route: Route, path: str, key: str) -> None:
            for _ in range(self.random.choice((1, 1, 2))):
                await asyncio.sleep(self.random.uniform(0.0, seconds / 2))
                machine = self.environment.pick_machine(self.random.choice(self.environment.day.site.zones))
                if machine:
                    until = self.environment.now() + request_kind.deadline
                    await self._attempt(request_kind, route, machine, path, key, until)

        for request_kind, route, path, key in self.answered:
            self.environment.create_task(send(request_kind, route, path, key))

    async def probe(self, route: Route, machine: str) -> None:
        """A request straight at a node, on a route that was just added or dropped."""
        path = f"{route.prefix}{next(self.environment.counter)}"
        key = f"key-{next(self.environment.counter)}" if route.kind == ONCE_PER_KEY else ""
        request_kind = RequestKind(route.name, 0.0, 0.02, 2.0, 0)
        await self._attempt(request_kind, route, machine, path, key, self.environment.now() + request_kind.deadline)

    async def call_nested(self, server: Server, name: str, run: str, until: float) -> RequestResult:
        route = self.environment.route_of(name)
        request_kind = self.environment.request_kind_of(route.prefix)
        path = f"{route.prefix}{next(self.environment.counter)}"
        until = min(until, self.environment.now() + request_kind.deadline)
        return await self._attempt(request_kind, route, server.machine.name, path, "", until, parent=run)

    async def _attempt(
        self,
        request_kind: RequestKind,
        route: Route,
        machine: str,
        path: str,
        key: str,
        until: float,
        *,
        parent: str = "",
    ) -> RequestResult:
        environment = self.environment
        attempt = f"a-{next(environment.counter):08x}"
        left = until - environment.now()
        body = b"" if route.kind == REPEATABLE else f"{path} {key} ".encode() * 4
        method = "POST" if body else "GET"
        headers = adapter("samples").request_headers(host=route.host, attempt=attempt, left=left, key=key)
        process = environment.processes[machine]
        environment.history.add(
            RequestSent(
                environment.now(),
                attempt,
                machine,
                process.number,
                process.service,
                route.name,
                method,
                path,
                digest_of(body),
                key,
                until,
                parent,
            )
        )
        answer = await self._deliver(machine, Call(method=method, path=path, headers=headers, body=body), until, route)
        result = self._read(attempt, answer)
        environment.history.add(result)
        if key and result.outcome == "answered" and result.status == 200:
            environment.on_trigger(TAKEN, machine)
        return result

    async def _deliver(self, machine: str, call: Call, until: float, route: Route) -> Any:
        """The answer, or how there was none."""
        environment = self.environment
        process = environment.processes[machine]
        await asyncio.sleep(0.0003)
        if not process.open or process.life.dead:
            # A machine without power says nothing, and a new connection is given a second.
            powered_off = process.powered_off
            await asyncio.sleep(max(0.0, min(1.0, until - environment.now())) if powered_off else 0.0)
            return "unreached"
        if process.life.frozen and route.kind == REPEATABLE:
            patience = min(UNREAD_TIMEOUT_SECONDS, (until - environment.now()) / 3)
        else:
            patience = until - environment.now()
        task = process.life.spawn(process.door.handle(call))
        process.pending[task] = None
        task.add_done_callback(lambda done: process.pending.pop(done, None))
        connection = process.connection()
        ways = {task, process.ended, connection}
        await asyncio.wait(ways, timeout=max(0.0, patience), return_when=asyncio.FIRST_COMPLETED)
        process.close_connection(connection)
        if not task.done():
            return "broken" if process.ended.done() or connection.done() else "given up"
        if task.cancelled():
            # The door lets go of the connection.
            return "broken"
        if task.exception() is not None:
            environment.fault(f"{machine}'s door raised {task.exception()!r}")
            return "broken"
        return task.result()

    def _read(self, attempt: str, answer: Any) -> RequestResult:
        now = self.environment.now()
        if isinstance(answer, str):
            return RequestResult(now, attempt, answer)
        after = answer.headers.get("Retry-After")
        seal = answer.headers.get(adapter("samples").SEAL, "")
        body = digest_of(bytes(answer.body or b""))
        return RequestResult(now, attempt, "answered", answer.status, seal, body, float(after) if after else None)
