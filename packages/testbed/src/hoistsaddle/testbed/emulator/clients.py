"""Requests of clients and nested calls of servers, sent to machines' proxies and retried by the platform's rules."""

import asyncio
import math
import random
from collections import deque
from types import SimpleNamespace
from typing import Any, NamedTuple

from multidict import CIMultiDict

from hoistsaddle.testbed.emulator.environment import Environment
from hoistsaddle.testbed.emulator.history import RequestResult, RequestSent
from hoistsaddle.testbed.emulator.platform_adapter import adapter
from hoistsaddle.testbed.emulator.scheduled_events import TAKEN
from hoistsaddle.testbed.emulator.servers import Server, digest_of
from hoistsaddle.testbed.emulator.site import ONCE_PER_KEY, REPEATABLE, RequestKind, Route
from hoistsaddle.testbed.emulator.statuses import NOT_RUN, OK, is_success

# Statuses after which no client retries.
NOT_RETRIED = (400, 401, 404, 413, 431)
LATENCY_SECONDS = 0.0003
# How many keyed requests are repeated after the final fault.
MAX_REPEATED_KEYS = 25
# Shortest and longest delay before a served request is repeated with its key.
REPEAT_DELAY_SECONDS = (0.05, 8.0)
# The share of keyed requests without success that are sent again to a random machine, and the shortest and longest
# delay after their last attempt.
RESUBMISSION_SHARE = 0.5
RESUBMISSION_DELAY_SECONDS = (2.0, 20.0)
# How long a client waits for a connection to a machine without power.
CONNECT_TIMEOUT_SECONDS = 1.0
DEFAULT_BACKOFF_SECONDS = 0.02
# The share of retries that wait for `Retry-After` or the default backoff; the others are sent at once.
BACKOFF_SHARE = 0.9
# The client of a repeatable request gives up if the proxy hasn't read it for this long.
UNREAD_TIMEOUT_SECONDS = 1.0


class Call:
    """A request in the form that handlers read: the parts of aiohttp's request that they use."""

    def __init__(self, *, method: str, path: str, headers: list[tuple[str, str]], body: bytes) -> None:
        self.method = method
        self.raw_path = path
        self.path = path.partition("?")[0]
        self.headers = CIMultiDict(headers)
        self.raw_headers = tuple((name.encode(), value.encode()) for name, value in headers)
        self.transport = None
        self.protocol = SimpleNamespace()
        self.body = body
        self._unread = body

    async def read(self) -> bytes:
        """The body, as aiohttp's request returns it."""
        return self.body

    @property
    def content(self) -> "Call":
        """The stream of the body; the request itself implements it."""
        return self

    async def readany(self) -> bytes:
        """The available part of the body, or empty at its end, as aiohttp's stream returns it."""
        unread, self._unread = self._unread, b""
        return unread


class ClientRequest(NamedTuple):
    """One attempt of a request: the machine to send it to, and its deadline `until`."""

    request_kind: RequestKind
    route: Route
    machine: str
    path: str
    key: str
    until: float
    # The run that makes this nested call.
    parent: str = ""


class Clients:
    """Generates the requests of a day."""

    def __init__(self, *, environment: Environment) -> None:
        self.environment = environment
        self.random = environment.random
        # A generator of its own, so that other random choices of a seed don't change.
        self.resubmission_random = random.Random(f"returning {environment.day.seed}")
        # The latest served keyed requests, to be repeated after the final fault.
        self.served: deque[ClientRequest] = deque(maxlen=MAX_REPEATED_KEYS)

    async def generate_load(self, *, until: float) -> None:
        """Sends requests of all kinds at the site's rate until the given time."""
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
        request = ClientRequest(request_kind, route, machine, path, key, until)
        for retries_left in range(request_kind.retries, -1, -1):
            result = await self._attempt(request)
            if not retries_left or not self._may_retry(route, result):
                break
            remaining = until - environment.now()
            backoff = 0.0
            if self.random.random() < BACKOFF_SHARE:
                backoff = min(result.retry_after or DEFAULT_BACKOFF_SECONDS, remaining / 3)
            await asyncio.sleep(max(0.0, backoff))
            if environment.now() >= until:
                break
        if key and self._will_resubmit(result):
            await asyncio.sleep(self.resubmission_random.uniform(*RESUBMISSION_DELAY_SECONDS))
            await self._repeat(request)
            return
        if key and result.outcome == "answered" and result.status == OK:
            self.served.append(request)
        repeated = request_kind.repeated_share
        if key and repeated and result.status == OK and self.random.random() < repeated:
            await asyncio.sleep(self.random.uniform(*REPEAT_DELAY_SECONDS))
            await self._repeat(request)

    async def _repeat(self, request: ClientRequest) -> None:
        """Sends the request again, with a new deadline, to a random machine."""
        environment = self.environment
        machine = environment.pick_machine(self.random.choice(environment.day.site.zones))
        if machine:
            until = environment.now() + request.request_kind.deadline
            await self._attempt(request._replace(machine=machine, until=until))

    def _will_resubmit(self, result: RequestResult) -> bool:
        """Whether the client sends a keyed request again later, because its operation may not have been carried out."""
        final = result.outcome == "answered" and (is_success(result.status) or result.status in NOT_RETRIED)
        return not final and self.resubmission_random.random() < RESUBMISSION_SHARE

    @staticmethod
    def _may_retry(route: Route, result: RequestResult) -> bool:
        if result.outcome == "answered" and (result.status < 300 or result.status in NOT_RETRIED):
            return False
        if route.kind in (REPEATABLE, ONCE_PER_KEY):
            return True
        return result.outcome == "unreached" or result.status in NOT_RUN

    def repeat_answered_keys(self, *, seconds: float) -> None:
        """Repeats the latest served keyed requests during the given time, some of them twice."""

        async def repeat(request: ClientRequest) -> None:
            for _ in range(self.random.choice((1, 1, 2))):
                await asyncio.sleep(self.random.uniform(0.0, seconds / 2))
                await self._repeat(request)

        for request in self.served:
            self.environment.create_task(repeat(request))

    async def probe(self, route: Route, machine: str) -> None:
        """Sends one request to a machine, on a route that was just changed."""
        path = f"{route.prefix}{next(self.environment.counter)}"
        key = f"key-{next(self.environment.counter)}" if route.kind == ONCE_PER_KEY else ""
        request_kind = RequestKind(route.name, 0.0, 0.02, 2.0, 0)
        until = self.environment.now() + request_kind.deadline
        await self._attempt(ClientRequest(request_kind, route, machine, path, key, until))

    async def call_nested(self, server: Server, name: str, run: str, until: float) -> RequestResult:
        """Makes a nested call of a server through its local sidecar."""
        route = self.environment.route_of(name)
        request_kind = self.environment.request_kind_of(route.prefix)
        path = f"{route.prefix}{next(self.environment.counter)}"
        until = min(until, self.environment.now() + request_kind.deadline)
        return await self._attempt(ClientRequest(request_kind, route, server.machine.name, path, "", until, run))

    def make_body(self, mark: bytes) -> bytes:
        """The body of a request, made from a text that identifies it."""
        return mark * 4

    async def _attempt(self, request: ClientRequest) -> RequestResult:
        environment = self.environment
        route, key = request.route, request.key
        attempt = f"a-{next(environment.counter):08x}"
        remaining = request.until - environment.now()
        body = b"" if route.kind == REPEATABLE else self.make_body(f"{request.path} {key} ".encode())
        body *= max(1, math.ceil(request.request_kind.body_bytes / max(1, len(body))))
        method = "POST" if body else "GET"
        headers = adapter("samples").request_headers(host=route.host, attempt=attempt, left=remaining, key=key)
        process = environment.processes[request.machine]
        environment.history.add(
            RequestSent(
                environment.now(),
                attempt,
                request.machine,
                process.number,
                process.service,
                route.name,
                method,
                request.path,
                digest_of(body),
                key,
                request.until,
                request.parent,
            )
        )
        call = Call(method=method, path=request.path, headers=headers, body=body)
        answer = await self._deliver(request, call)
        result = self._read(attempt, answer)
        environment.history.add(result)
        if key and result.outcome == "answered" and result.status == OK:
            environment.on_trigger(TAKEN, request.machine)
        return result

    async def _deliver(self, request: ClientRequest, call: Call) -> Any:
        """The proxy's answer, or the name of the outcome if there is none."""
        environment = self.environment
        machine, until = request.machine, request.until
        process = environment.processes[machine]
        await asyncio.sleep(LATENCY_SECONDS)
        if jam := environment.world.client_wait(process.machine.host):
            remaining = until - environment.now()
            if request.route.kind == REPEATABLE:
                remaining = min(UNREAD_TIMEOUT_SECONDS, remaining / 3)
            await asyncio.sleep(max(0.0, min(jam, remaining)))
            if jam > remaining:
                return "given up"
        if not request.parent and not await self._send_over_link(process.machine.host, len(call.body), until):
            return "given up"
        if not process.open or process.simulated.dead:
            # A connection to a machine without power isn't refused: it times out.
            timeout = min(CONNECT_TIMEOUT_SECONDS, until - environment.now()) if process.powered_off else 0.0
            await asyncio.sleep(max(0.0, timeout))
            return "unreached"
        if process.simulated.frozen and request.route.kind == REPEATABLE:
            timeout = min(UNREAD_TIMEOUT_SECONDS, (until - environment.now()) / 3)
        else:
            timeout = until - environment.now()
        task = process.simulated.spawn(process.ingress.handle(call))
        process.pending[task] = None
        task.add_done_callback(lambda done: process.pending.pop(done, None))
        connection = process.connection()
        ends = {task, process.ended, connection}
        await asyncio.wait(ends, timeout=max(0.0, timeout), return_when=asyncio.FIRST_COMPLETED)
        process.close_connection(connection)
        if not task.done():
            return "broken" if process.ended.done() or connection.done() else "given up"
        if task.cancelled():
            # The handler closes the connection.
            return "broken"
        if task.exception() is not None:
            environment.record_failure(f"{machine}'s handler raised {task.exception()!r}")
            return "broken"
        return task.result()

    async def _send_over_link(self, host: str, octets: int, until: float) -> bool:
        """Sends a request's bytes over the machine's link; False if the deadline passes first."""
        environment = self.environment
        arrived = asyncio.Event()
        environment.world.links.send(sender="", receiver=host, octets=octets, arrived=arrived.set)
        if not arrived.is_set():
            waiting = environment.create_task(arrived.wait())
            await environment.wait_for(waiting, max(0.0, until - environment.now()))
            waiting.cancel()
        return arrived.is_set()

    def _read(self, attempt: str, answer: Any) -> RequestResult:
        now = self.environment.now()
        if isinstance(answer, str):
            return RequestResult(now, attempt, answer)
        retry_after = answer.headers.get("Retry-After")
        seal = answer.headers.get(adapter("samples").SEAL, "")
        body = digest_of(bytes(answer.body or b""))
        retry_seconds = float(retry_after) if retry_after else None
        return RequestResult(now, attempt, "answered", answer.status, seal, body, retry_seconds)
