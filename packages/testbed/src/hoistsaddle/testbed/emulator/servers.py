"""The application servers of the sidecars: slots, a short queue, heartbeats, and faulty answers."""

import asyncio
import hashlib
from collections import deque

from hoistsaddle.common.errors import ErrorKind, MeshError
from hoistsaddle.sidecar.header_pairs import pack_pairs, unpack_pairs
from hoistsaddle.sidecar.messages import RunOnServer, ServerAnswered, ServerFailed
from hoistsaddle.testbed.emulator.environment import Environment
from hoistsaddle.testbed.emulator.history import HeartbeatAcknowledged, RequestArrived, RunEnded, RunStarted
from hoistsaddle.testbed.emulator.platform_adapter import adapter
from hoistsaddle.testbed.emulator.scheduled_events import LEFT
from hoistsaddle.testbed.emulator.site import BOUNDS, RequestKind, SidecarMachine
from hoistsaddle.testbed.emulator.statuses import OK

HEARTBEAT_SECONDS = 1.5
# For this time after its start, a server's runs take longer by this factor.
SLOW_START_SECONDS, SLOW_START_FACTOR = 3.0, 2.0
# How long a server tries to report that it leaves, the interval between tries, and how long its last runs may take.
LEAVE_TIMEOUT_SECONDS, LEAVE_RETRY_SECONDS, LAST_RUNS_SECONDS = 4.0, 0.3, 2.0
# How long, at most, a server that deregistered first keeps serving beyond the drain time.
MAX_EXTRA_SERVING_SECONDS = 4.0
HEARTBEAT_TIMEOUT_SECONDS = 1.0
POLL_SECONDS = 0.02
# Run times vary by a log-normal factor, capped at the maximum.
RUN_TIME_MU, RUN_TIME_SIGMA, MAX_RUN_TIME_FACTOR = -0.1, 0.5, 5.0
MISDIRECTED, BUSY, FAILED, TIMED_OUT = 421, 503, 500, 504
PORT = 8301


def digest_of(data: bytes) -> str:
    """A short digest that stands for a body in the history."""
    return hashlib.sha256(data).hexdigest()[:16]


class Server:
    """One instance of an application server."""

    def __init__(self, *, environment: Environment, machine: SidecarMachine, service: str) -> None:
        self.environment = environment
        self.machine = machine
        self.service = service
        self.instance = f"i-{next(environment.counter):06x}"
        self.address = f"{machine.host}:{PORT}"
        service_spec = next(spec for spec in environment.day.site.services if spec.name == service)
        self.slots, self.queue = service_spec.slots, service_spec.queue
        self.began = environment.now()
        self.leaving = False
        self.deregistered = False
        self.ended = False
        self.heartbeats = 0
        # Heartbeats sent until the first time arrive up to the second number of seconds late.
        self.delay_until, self.latest = 0.0, 0.0
        self.working = 0
        self.waiting: deque[asyncio.Future] = deque()
        # Runs in flight; the future of each is done once the server ends.
        self.runs: dict[asyncio.Future, None] = {}

    async def send_heartbeats(self) -> None:
        """Sends a heartbeat about every HEARTBEAT_SECONDS until the server deregisters or ends."""
        while not (self.ended or self.deregistered):
            if self.environment.now() < self.delay_until:
                self.environment.create_task(self._send_late_heartbeat())
            else:
                await self.send_heartbeat()
            await asyncio.sleep(HEARTBEAT_SECONDS * self.environment.random.uniform(0.9, 1.1))

    def delay_heartbeats(self, seconds: float, *, latest: float) -> None:
        """For the next `seconds`, delays the delivery of each heartbeat by up to `latest` seconds."""
        self.delay_until, self.latest = self.environment.now() + seconds, latest

    async def send_heartbeat(self) -> bool:
        """Reports the server's state to the sidecar; True if the report was acknowledged."""
        return await self._report(*self._compose_heartbeat())

    async def _send_late_heartbeat(self) -> None:
        """Sends the current state with a delay, possibly after the server has ended."""
        heartbeat = self._compose_heartbeat()
        await asyncio.sleep(self.environment.random.uniform(0.0, self.latest))
        await self._report(*heartbeat)

    def _compose_heartbeat(self) -> tuple[str, bytes, str]:
        self.heartbeats += 1
        cold = max(0.0, self.began + SLOW_START_SECONDS - self.environment.now())
        leaving = self.leaving
        samples = adapter("samples")
        body = samples.heartbeat(
            service=self.service,
            address=self.address,
            zone=self.machine.zone,
            capacity=self.slots,
            leaving=leaving,
            cold=cold,
            number=self.heartbeats,
        )
        return samples.BEAT, body, samples.LEAVING if leaving else samples.READY

    async def _report(self, method: str, body: bytes, state: str) -> bool:
        path = adapter("samples").instance_path(self.instance)
        answer = await self.environment.control(self.machine.name, method, path, body, within=HEARTBEAT_TIMEOUT_SECONDS)
        if answer is None or answer.status >= 300:
            return False
        self.environment.history.add(
            HeartbeatAcknowledged(self.environment.now(), self.machine.name, self.instance, state)
        )
        if state != adapter("samples").READY:
            self.environment.on_trigger(LEFT, self.machine.name)
        return True

    async def leave(self) -> None:
        """Leaves as planned: announces it, keeps serving for a little more than `drain_s`, then deregisters."""
        self.leaving = True
        deadline = self.environment.now() + LEAVE_TIMEOUT_SECONDS
        while not await self.send_heartbeat() and self.environment.now() < deadline and not self.ended:
            await asyncio.sleep(LEAVE_RETRY_SECONDS)
        await asyncio.sleep(BOUNDS["drain_s"] + self.environment.random.uniform(0.2, 0.8))
        if not self.ended:
            # Requests in flight may finish first, within a limited time.
            deadline = self.environment.now() + LAST_RUNS_SECONDS
            while self.working and self.environment.now() < deadline:
                await asyncio.sleep(POLL_SECONDS)
            await self._report(adapter("samples").LEAVE, b"", "gone")
        self.end()

    async def leave_unannounced(self) -> None:
        """Leaves by deregistering first; the server then keeps serving for at least `drain_s`."""
        self.leaving = self.deregistered = True
        deadline = self.environment.now() + LEAVE_TIMEOUT_SECONDS
        while not await self._report(adapter("samples").LEAVE, b"", "gone") and self.environment.now() < deadline:
            await asyncio.sleep(LEAVE_RETRY_SECONDS)
        await asyncio.sleep(BOUNDS["drain_s"] + self.environment.random.uniform(0.5, MAX_EXTRA_SERVING_SECONDS))
        self.end()

    def end(self) -> None:
        """Ends at once; requests in flight get no answer."""
        self.ended = True
        for future in [*self.runs, *self.waiting]:
            if not future.done():
                future.set_result(False)

    def _failed(self, command: RunOnServer, *, unsent: bool = False) -> ServerFailed:
        kind = ErrorKind.UNREACHABLE if unsent else ErrorKind.ANSWER_BROKEN
        return ServerFailed(command.number, unsent, MeshError(kind, "The server broke off.", "simulated"))

    def _not_run(self, command: RunOnServer, status: int) -> ServerAnswered:
        headers = pack_pairs(adapter("samples").not_run(attempt=command.call.client_attempt_id))
        return ServerAnswered(command.number, status, headers, b"", True)

    async def _acquire_slot(self, within: float) -> bool:
        """Waits for a slot up to `within` seconds; False if none became free or the server ended."""
        if self.working < self.slots:
            self.working += 1
            return True
        granted = self.environment.loop.create_future()
        self.waiting.append(granted)
        done, _ = await asyncio.wait({granted}, timeout=max(0.0, within))
        if granted in done:
            return granted.result()
        self.waiting.remove(granted)
        return False

    def _release_slot(self) -> None:
        while self.waiting:
            granted = self.waiting.popleft()
            if not granted.done():
                # The slot is handed over to the next waiter without being freed.
                granted.set_result(True)
                return
        self.working -= 1

    async def serve(self, command: RunOnServer) -> ServerAnswered | ServerFailed:
        """Handles one request from the sidecar, in a separate task because a server outlives its sidecar's process."""
        environment, call = self.environment, command.call
        if self.ended:
            return self._failed(command, unsent=True)
        until = environment.now() + command.within.total_seconds()
        misdirected = bool(call.instance) and call.instance != self.instance
        environment.history.add(
            RequestArrived(
                environment.now(), call.client_attempt_id, self.service, self.instance, self.machine.name, misdirected
            )
        )
        if misdirected:
            return self._not_run(command, MISDIRECTED)
        if self.working >= self.slots and len(self.waiting) >= self.queue:
            return self._not_run(command, BUSY)
        if not await self._acquire_slot(until - environment.now()):
            return self._failed(command, unsent=False) if self.ended else self._not_run(command, BUSY)
        try:
            return await self._run(command, until)
        finally:
            self._release_slot()

    async def _run(self, command: RunOnServer, until: float) -> ServerAnswered | ServerFailed:
        environment, call = self.environment, command.call
        run = f"run-{next(environment.counter)}"
        path = call.path.decode()
        self._record_start(command, run)
        request_kind = environment.request_kind_of(path)
        if not await self._simulate_run(request_kind, until):
            environment.history.add(RunEnded(environment.now(), run, 0, "", False))
            return self._failed(command)
        status = await self._call_nested(request_kind, run, until)
        if environment.now() >= until:
            status = TIMED_OUT
        misbehaviour = environment.misbehaviour_of(self.service)
        if misbehaviour == "failure":
            status = FAILED
        body = self.make_body(f"{run} {call.client_attempt_id} {path} ".encode())
        complete = misbehaviour not in ("lost", "cut")
        environment.history.add(RunEnded(environment.now(), run, status, digest_of(body), complete))
        if self.ended or misbehaviour == "cut":
            return self._failed(command)
        if misbehaviour == "lost":
            # The server has finished, but no answer arrives before the sidecar times out.
            await asyncio.sleep(max(0.0, until - environment.now()))
            error = MeshError(ErrorKind.BUDGET_SPENT, "No answer came.", "simulated")
            return ServerFailed(command.number, False, error)
        headers = pack_pairs(adapter("samples").answer_headers(run=run, attempt=call.client_attempt_id))
        return ServerAnswered(command.number, status, headers, body, False)

    def make_body(self, mark: bytes) -> bytes:
        """The body of an answer, made from a text that identifies its run."""
        return mark * 3

    def _record_start(self, command: RunOnServer, run: str) -> None:
        call = command.call
        self.environment.history.add(
            RunStarted(
                self.environment.now(),
                run,
                call.client_attempt_id,
                self.service,
                self.instance,
                self.machine.name,
                call.caller,
                call.method,
                call.path.decode(),
                digest_of(call.body),
                adapter("samples").key_of(unpack_pairs(call.headers)),
            )
        )

    async def _simulate_run(self, request_kind: RequestKind, until: float) -> bool:
        """Waits for the run time of the request, but not beyond `until`; False if the server ended meanwhile."""
        environment = self.environment
        slow_start = SLOW_START_FACTOR if environment.now() < self.began + SLOW_START_SECONDS else 1.0
        variation = min(environment.random.lognormvariate(RUN_TIME_MU, RUN_TIME_SIGMA), MAX_RUN_TIME_FACTOR)
        run_time = request_kind.work * self.machine.speed * slow_start * variation
        ended = environment.loop.create_future()
        self.runs[ended] = None
        try:
            done, _ = await asyncio.wait({ended}, timeout=max(0.0, min(run_time, until - environment.now())))
        finally:
            self.runs.pop(ended, None)
        return not done and not self.ended

    async def _call_nested(self, request_kind: RequestKind, run: str, until: float) -> int:
        """Makes the nested calls of a request; returns the status of the request's answer."""
        environment = self.environment
        status = OK
        for nested in request_kind.nested:
            if environment.random.random() < nested.share:
                answer = await environment.clients.call_nested(self, nested.route, run, until)
                if answer.status != OK:
                    status = FAILED
        return status
