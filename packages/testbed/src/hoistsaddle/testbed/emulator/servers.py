"""The application servers beside the sidecars: slots, a short queue, lives, beats, and the ways they go wrong."""

import asyncio
import hashlib
from collections import deque

from hoistsaddle.common.errors import Mishap, MishapKind
from hoistsaddle.sidecar.messages import Serve, Served, ServeMissed
from hoistsaddle.sidecar.serverconnection import pack_pairs, unpack_pairs
from hoistsaddle.testbed.emulator.customs import adapter
from hoistsaddle.testbed.emulator.history import Arrived, Beaten, Ran, Replied
from hoistsaddle.testbed.emulator.site import BOUNDS, SidecarMachine
from hoistsaddle.testbed.emulator.stage import Stage

BEAT_SECONDS = 1.5
# A server that just started takes twice as long for a while.
COLD_SECONDS = 3.0


def digest_of(data: bytes) -> str:
    return hashlib.sha256(data).hexdigest()[:16]


class Server:
    """One life of one server."""

    def __init__(self, *, arena: Stage, machine: SidecarMachine, service: str) -> None:
        self.arena = arena
        self.machine = machine
        self.service = service
        self.instance = f"i-{next(arena.counter):06x}"
        self.address = f"{machine.host}:8301"
        shape = next(each for each in arena.day.site.services if each.name == service)
        self.slots, self.queue = shape.slots, shape.queue
        self.began = arena.moment()
        self.leaving = False
        self.ended = False
        self.beats = 0
        self.acknowledged: set[str] = set()
        self.working = 0
        self.waiting: deque[asyncio.Future] = deque()
        self.works: dict[asyncio.Future, None] = {}

    # -- beats -------------------------------------------------------------------------------------------------------

    async def keep_beating(self) -> None:
        while not self.ended:
            await self.beat()
            await asyncio.sleep(BEAT_SECONDS * self.arena.random.uniform(0.9, 1.1))

    async def beat(self) -> bool:
        self.beats += 1
        cold = max(0.0, self.began + COLD_SECONDS - self.arena.moment())
        leaving = self.leaving
        body = adapter("samples").beat(
            service=self.service,
            address=self.address,
            zone=self.machine.zone,
            capacity=self.slots,
            leaving=leaving,
            cold=cold,
            number=self.beats,
        )
        samples = adapter("samples")
        return await self._tell(samples.BEAT, body, samples.LEAVING if leaving else samples.READY)

    async def _tell(self, method: str, body: bytes, state: str) -> bool:
        path = adapter("samples").instance_path(self.instance)
        answer = await self.arena.control(self.machine.name, method, path, body, within=1.0)
        if answer is None or answer.status >= 300:
            return False
        self.acknowledged.add(state)
        self.arena.history.add(Beaten(self.arena.moment(), self.machine.name, self.instance, state))
        return True

    async def leave(self) -> None:
        """A planned end: says so, serves on for the span promised and somewhat longer, then goes."""
        self.leaving = True
        gives_up = self.arena.moment() + 4.0
        while not await self.beat() and self.arena.moment() < gives_up and not self.ended:
            await asyncio.sleep(0.3)
        await asyncio.sleep(BOUNDS["drain_s"] + self.arena.random.uniform(0.2, 0.8))
        if not self.ended:
            # What it works on is ended first, within a span.
            end = self.arena.moment() + 2.0
            while self.working and self.arena.moment() < end:
                await asyncio.sleep(0.02)
            await self._tell(adapter("samples").LEAVE, b"", "gone")
        self.end()

    def end(self) -> None:
        self.ended = True
        for future in [*self.works, *self.waiting]:
            if not future.done():
                future.set_result(False)

    # -- requests ----------------------------------------------------------------------------------------------------

    def _missed(self, serve: Serve, *, unsent: bool = False) -> ServeMissed:
        kind = MishapKind.UNREACHABLE if unsent else MishapKind.ANSWER_BROKEN
        return ServeMissed(serve.number, unsent, Mishap(kind, "The server broke off.", "simulated"))

    def _not_run(self, serve: Serve, status: int) -> Served:
        headers = pack_pairs(adapter("samples").not_run(attempt=serve.call.send_id))
        return Served(serve.number, status, headers, b"", True)

    async def _slot(self, within: float) -> bool:
        if self.working < self.slots:
            self.working += 1
            return True
        turn = self.arena.loop.create_future()
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

    async def serve(self, serve: Serve) -> tuple:
        """One request from the sidecar; runs outside the sidecar's life, as a server is a process of its own."""
        arena, call = self.arena, serve.call
        if self.ended:
            return self._missed(serve, unsent=True)
        until = arena.moment() + serve.within.total_seconds()
        astray = bool(call.instance) and call.instance != self.instance
        arena.history.add(Arrived(arena.moment(), call.send_id, self.service, self.instance, self.machine.name, astray))
        if astray:
            return self._not_run(serve, 421)
        if self.working >= self.slots and len(self.waiting) >= self.queue:
            return self._not_run(serve, 503)
        if not await self._slot(until - arena.moment()):
            return self._missed(serve, unsent=False) if self.ended else self._not_run(serve, 503)
        try:
            return await self._run(serve, until)
        finally:
            self._free()

    async def _run(self, serve: Serve, until: float) -> tuple:
        arena, call = self.arena, serve.call
        run = f"run-{next(arena.counter)}"
        path = call.path.decode()
        arena.history.add(
            Ran(
                arena.moment(),
                run,
                call.send_id,
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
        visit = arena.visit_of(path)
        cold = 2.0 if arena.moment() < self.began + COLD_SECONDS else 1.0
        work = visit.work * self.machine.speed * cold * min(arena.random.lognormvariate(-0.1, 0.5), 5.0)
        status = 200
        ending = arena.loop.create_future()
        self.works[ending] = None
        try:
            done, _ = await asyncio.wait({ending}, timeout=max(0.0, min(work, until - arena.moment())))
        finally:
            self.works.pop(ending, None)
        if done or self.ended:
            arena.history.add(Replied(arena.moment(), run, 0, "", False))
            return self._missed(serve)
        for inner in visit.inner:
            if arena.random.random() < inner.share:
                answer = await arena.visitors.call_inner(self, inner.route, run, until)
                if answer.status != 200:
                    status = 500
        if arena.moment() >= until:
            status = 504
        how = arena.manner_of(self.service)
        if how == "failure":
            status = 500
        body = f"{run} {call.send_id} {path} ".encode() * 3
        arena.history.add(Replied(arena.moment(), run, status, digest_of(body), how not in ("lost", "cut")))
        if self.ended or how == "cut":
            return self._missed(serve)
        if how == "lost":
            # Silence until the sidecar's own bound; the server is long done.
            await asyncio.sleep(max(0.0, until - arena.moment()))
            return ServeMissed(serve.number, False, Mishap(MishapKind.BUDGET_SPENT, "No answer came.", "simulated"))
        headers = pack_pairs(adapter("samples").sealed(run=run, attempt=call.send_id))
        return Served(serve.number, status, headers, body, False)
