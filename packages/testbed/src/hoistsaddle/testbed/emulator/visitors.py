"""Visitors and servers' own calls: what is asked at a machine's door, and asked again as the platform's page says."""

import asyncio
from collections import deque
from types import SimpleNamespace
from typing import Any

from multidict import CIMultiDict

from hoistsaddle.testbed.emulator.customs import adapter
from hoistsaddle.testbed.emulator.history import Got, Sent
from hoistsaddle.testbed.emulator.servers import Server, digest_of
from hoistsaddle.testbed.emulator.site import ONCE_PER_KEY, REPEATABLE, Route, Visit
from hoistsaddle.testbed.emulator.stage import Stage
from hoistsaddle.testbed.emulator.troubles import TAKEN

PROMISES = (408, 421, 429, 503)
NEVER_AGAIN = (400, 401, 404, 413, 431)
# A visitor's node may be silent for so long before a repeatable request goes elsewhere.
UNREAD_SECONDS = 1.0


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


class Visitors:
    def __init__(self, *, arena: Stage) -> None:
        self.arena = arena
        self.random = arena.random
        # Keys of good answers, to be sent again after the day's last fault.
        self.answered: deque[tuple[Visit, Route, str, str]] = deque(maxlen=25)

    async def load(self, *, until: float) -> None:
        arena = self.arena
        visits = arena.day.site.visits
        weights = [visit.weight for visit in visits]
        while arena.moment() < until:
            visit = self.random.choices(visits, weights=weights)[0]
            machine = arena.open_machine(self.random.choice(arena.day.site.zones))
            if machine:
                arena.keep(self._visit(visit, machine))
            await asyncio.sleep(self.random.expovariate(arena.day.site.rate))

    async def _visit(self, visit: Visit, machine: str) -> None:
        arena = self.arena
        route = arena.route_of(visit.route)
        key = f"key-{next(arena.counter)}" if route.kind == ONCE_PER_KEY else ""
        path = f"{route.prefix}{next(arena.counter)}"
        until = arena.moment() + visit.deadline
        for left in range(visit.further, -1, -1):
            got = await self._try(visit, route, machine, path, key, until)
            if not left or not self._again(route, got):
                break
            remains = until - arena.moment()
            # Some don't wait as they are told.
            wait = min(got.retry_after or 0.02, remains / 3) if self.random.random() < 0.9 else 0.0
            await asyncio.sleep(max(0.0, wait))
            if arena.moment() >= until:
                return
        if key and got.outcome == "answered" and got.status == 200:
            self.answered.append((visit, route, path, key))
        if key and visit.again and got.status == 200 and self.random.random() < visit.again:
            await asyncio.sleep(self.random.uniform(0.05, 8.0))
            elsewhere = arena.open_machine(self.random.choice(arena.day.site.zones))
            if elsewhere:
                await self._try(visit, route, elsewhere, path, key, arena.moment() + visit.deadline)

    @staticmethod
    def _again(route: Route, got: Got) -> bool:
        if got.outcome == "answered" and (got.status < 300 or got.status in NEVER_AGAIN):
            return False
        if route.kind in (REPEATABLE, ONCE_PER_KEY):
            return True
        return got.outcome == "unreached" or got.status in PROMISES

    def send_keys_again(self, *, seconds: float) -> None:
        """Each key that was answered shortly before the last fault is sent again, some of them more than once."""

        async def send(visit: Visit, route: Route, path: str, key: str) -> None:
            for _ in range(self.random.choice((1, 1, 2))):
                await asyncio.sleep(self.random.uniform(0.0, seconds / 2))
                machine = self.arena.open_machine(self.random.choice(self.arena.day.site.zones))
                if machine:
                    until = self.arena.moment() + visit.deadline
                    await self._try(visit, route, machine, path, key, until)

        for visit, route, path, key in self.answered:
            self.arena.keep(send(visit, route, path, key))

    async def probe(self, route: Route, machine: str) -> None:
        """A request straight at a node, on a route that was just added or dropped."""
        path = f"{route.prefix}{next(self.arena.counter)}"
        key = f"key-{next(self.arena.counter)}" if route.kind == ONCE_PER_KEY else ""
        visit = Visit(route.name, 0.0, 0.02, 2.0, 0)
        await self._try(visit, route, machine, path, key, self.arena.moment() + visit.deadline)

    async def call_inner(self, server: Server, name: str, run: str, until: float) -> Got:
        route = self.arena.route_of(name)
        visit = self.arena.visit_of(route.prefix)
        path = f"{route.prefix}{next(self.arena.counter)}"
        until = min(until, self.arena.moment() + visit.deadline)
        return await self._try(visit, route, server.machine.name, path, "", until, parent=run)

    async def _try(
        self, visit: Visit, route: Route, machine: str, path: str, key: str, until: float, *, parent: str = ""
    ) -> Got:
        arena = self.arena
        attempt = f"a-{next(arena.counter):08x}"
        left = until - arena.moment()
        body = b"" if route.kind == REPEATABLE else f"{path} {key} ".encode() * 4
        method = "POST" if body else "GET"
        headers = adapter("samples").request_headers(host=route.host, attempt=attempt, left=left, key=key)
        process = arena.processes[machine]
        arena.history.add(
            Sent(
                arena.moment(),
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
        answer = await self._carry(machine, Call(method=method, path=path, headers=headers, body=body), until, route)
        got = self._read(attempt, answer)
        arena.history.add(got)
        if key and got.outcome == "answered" and got.status == 200:
            arena.happened(TAKEN, machine)
        return got

    async def _carry(self, machine: str, call: Call, until: float, route: Route) -> Any:
        """The answer, or how there was none."""
        arena = self.arena
        process = arena.processes[machine]
        await asyncio.sleep(0.0003)
        if not process.open or process.life.dead:
            # A machine without power says nothing, and a new connection is given a second.
            dark = process.dark
            await asyncio.sleep(max(0.0, min(1.0, until - arena.moment())) if dark else 0.0)
            return "unreached"
        if process.life.frozen and route.kind == REPEATABLE:
            patience = min(UNREAD_SECONDS, (until - arena.moment()) / 3)
        else:
            patience = until - arena.moment()
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
            arena.fault(f"{machine}'s door raised {task.exception()!r}")
            return "broken"
        return task.result()

    def _read(self, attempt: str, answer: Any) -> Got:
        moment = self.arena.moment()
        if isinstance(answer, str):
            return Got(moment, attempt, answer)
        after = answer.headers.get("Retry-After")
        seal = answer.headers.get(adapter("samples").SEAL, "")
        body = digest_of(bytes(answer.body or b""))
        return Got(moment, attempt, "answered", answer.status, seal, body, float(after) if after else None)
