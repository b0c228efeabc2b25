"""The application servers beside the sidecars: slots, a short queue, lives, beats, and the ways they go wrong."""

import asyncio
import hashlib
from collections import deque

from hoistsaddle.common.errors import ErrorKind, MeshError
from hoistsaddle.sidecar.messages import RunOnServer, ServerAnswered, ServerFailed
from hoistsaddle.sidecar.server_connections import pack_pairs, unpack_pairs
from hoistsaddle.testbed.emulator.environment import Environment
from hoistsaddle.testbed.emulator.history import HeartbeatAcknowledged, RequestArrived, RunEnded, RunStarted
from hoistsaddle.testbed.emulator.platform_adapter import adapter
from hoistsaddle.testbed.emulator.site import BOUNDS, SidecarMachine

HEARTBEAT_SECONDS = 1.5
# A server that just started takes twice as long for a while.
SLOW_START_SECONDS = 3.0


def digest_of(data: bytes) -> str:
    return hashlib.sha256(data).hexdigest()[:16]


class Server:
    """One life of one server."""

    def __init__(self, *, environment: Environment, machine: SidecarMachine, service: str) -> None:
        self.environment = environment
        self.machine = machine
        self.service = service
        self.instance = f"i-{next(environment.counter):06x}"
        self.address = f"{machine.host}:8301"
        service_spec = next(each for each in environment.day.site.services if each.name == service)
        self.slots, self.queue = service_spec.slots, service_spec.queue
        self.began = environment.now()
        self.leaving = False
        self.ended = False
        self.heartbeats = 0
        self.acknowledged: set[str] = set()
        self.working = 0
        self.waiting: deque[asyncio.Future] = deque()
        self.works: dict[asyncio.Future, None] = {}

    # -- beats -------------------------------------------------------------------------------------------------------

    async def send_heartbeats(self) -> None:
        while not self.ended:
            await self.beat()
            await asyncio.sleep(HEARTBEAT_SECONDS * self.environment.random.uniform(0.9, 1.1))

    async def beat(self) -> bool:
        self.heartbeats += 1
        cold = max(0.0, self.began + SLOW_START_SECONDS - self.environment.now())
        leaving = self.leaving
        body = adapter("samples").beat(
            service=self.service,
            address=self.address,
            zone=self.machine.zone,
            capacity=self.slots,
            leaving=leaving,
            cold=cold,
            number=self.heartbeats,
        )
        samples = adapter("samples")
        return await self._tell(samples.BEAT, body, samples.LEAVING if leaving else samples.READY)

    async def _tell(self, method: str, body: bytes, state: str) -> bool:
        path = adapter("samples").instance_path(self.instance)
        answer = await self.environment.control(self.machine.name, method, path, body, within=1.0)
        if answer is None or answer.status >= 300:
            return False
        self.acknowledged.add(state)
        self.environment.history.add(
            HeartbeatAcknowledged(self.environment.now(), self.machine.name, self.instance, state)
        )
        return True

    async def leave(self) -> None:
        """A planned end: says so, serves on for the span promised and somewhat longer, then goes."""
        self.leaving = True
        gives_up = self.environment.now() + 4.0
        while not await self.beat() and self.environment.now() < gives_up and not self.ended:
            await asyncio.sleep(0.3)
        await asyncio.sleep(BOUNDS["drain_s"] + self.environment.random.uniform(0.2, 0.8))
        if not self.ended:
            # What it works on is ended first, within a span.
            end = self.environment.now() + 2.0
            while self.working and self.environment.now() < end:
                await asyncio.sleep(0.02)
            await self._tell(adapter("samples").LEAVE, b"", "gone")
        self.end()

    def end(self) -> None:
        self.ended = True
        for future in [*self.works, *self.waiting]:
            if not future.done():
                future.set_result(False)

    # -- requests ----------------------------------------------------------------------------------------------------

    def _missed(self, serve: RunOnServer, *, unsent: bool = False) -> ServerFailed:
        kind = ErrorKind.UNREACHABLE if unsent else ErrorKind.ANSWER_BROKEN
        return ServerFailed(serve.number, unsent, MeshError(kind, "The server broke off.", "simulated"))

    def _not_run(self, serve: RunOnServer, status: int) -> ServerAnswered:
        headers = pack_pairs(adapter("samples").not_run(attempt=serve.call.client_attempt_id))
        return ServerAnswered(serve.number, status, headers, b"", True)

    async def _slot(self, within: float) -> bool:
        if self.working < self.slots:
            self.working += 1
            return True
        turn = self.environment.loop.create_future()
        self.waiting.append(turn)
        done, _ = await asyncio.wait({turn}, timeout=max(0.0, within))
        if turn in done:
            return turn.result()
        self.waiting.remove(turn)
        return False

    def _free(self) -> None:
        while self.waiting:
            turn = self.waiting.popleft()
            if not turn.done():
                # The slot passes on as it is.
                turn.set_result(True)
                return
        self.working -= 1

    async def serve(self, serve: RunOnServer) -> tuple:
        """One request from the sidecar; runs outside the sidecar's life, as a server is a process of its own."""
        environment, call = self.environment, serve.call
        if self.ended:
            return self._missed(serve, unsent=True)
        until = environment.now() + serve.within.total_seconds()
        misdirected = bool(call.instance) and call.instance != self.instance
        environment.history.add(
            RequestArrived(
                environment.now(), call.client_attempt_id, self.service, self.instance, self.machine.name, misdirected
            )
        )
        if misdirected:
            return self._not_run(serve, 421)
        if self.working >= self.slots and len(self.waiting) >= self.queue:
            return self._not_run(serve, 503)
        if not await self._slot(until - environment.now()):
            return self._missed(serve, unsent=False) if self.ended else self._not_run(serve, 503)
        try:
            return await self._run(serve, until)
        finally:
            self._free()

    async def _run(self, serve: RunOnServer, until: float) -> tuple:
        environment, call = self.environment, serve.call
        run = f"run-{next(environment.counter)}"
        path = call.path.decode()
        environment.history.add(
            RunStarted(
                environment.now(),
                run,
                call.client_attempt_id,
                self.service,
                self.instance,
                self.machine.name,
                call.caller,
                call.method,
                path,
                digest_of(call.body),
                adapter("samples").key_of(unpack_pairs(call.headers)),
            )
        )
        request_kind = environment.request_kind_of(path)
        cold = 2.0 if environment.now() < self.began + SLOW_START_SECONDS else 1.0
        work = request_kind.work * self.machine.speed * cold * min(environment.random.lognormvariate(-0.1, 0.5), 5.0)
        status = 200
        ending = environment.loop.create_future()
        self.works[ending] = None
        try:
            done, _ = await asyncio.wait({ending}, timeout=max(0.0, min(work, until - environment.now())))
        finally:
            self.works.pop(ending, None)
        if done or self.ended:
            environment.history.add(RunEnded(environment.now(), run, 0, "", False))
            return self._missed(serve)
        for inner in request_kind.inner:
            if environment.random.random() < inner.share:
                answer = await environment.clients.call_nested(self, inner.route, run, until)
                if answer.status != 200:
                    status = 500
        if environment.now() >= until:
            status = 504
        how = environment.misbehaviour_of(self.service)
        if how == "failure":
            status = 500
        body = f"{run} {call.client_attempt_id} {path} ".encode() * 3
        environment.history.add(RunEnded(environment.now(), run, status, digest_of(body), how not in ("lost", "cut")))
        if self.ended or how == "cut":
            return self._missed(serve)
        if how == "lost":
            # Silence until the sidecar's own bound; the server is long done.
            await asyncio.sleep(max(0.0, until - environment.now()))
            return ServerFailed(serve.number, False, MeshError(ErrorKind.BUDGET_SPENT, "No answer came.", "simulated"))
        headers = pack_pairs(adapter("samples").sealed(run=run, attempt=call.client_attempt_id))
        return ServerAnswered(serve.number, status, headers, body, False)
