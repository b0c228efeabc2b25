"""The stall's sockets and schedule: doors for visitors and for its server, the line to other processes, the relay."""
import asyncio
import hashlib
import random
import secrets
from datetime import timedelta

import aiohttp
import msgspec
from aiohttp import web
from aiomisc import Service
from returns.result import Success

from hoistsaddle.crier.holding import hold_poll
from hoistsaddle.crier.member import Member
from hoistsaddle.crier.membership import ALIVE
from hoistsaddle.crier.relay import Relay, select_parents
from hoistsaddle.haggle.line import Lines, LineServer
from hoistsaddle.haggle.parcels import PassAnswer, PassCall, PollAnswer, PollCall, ProbeCall, ProbeForCall, Rumour, Uptake, VitalsAnswer, VitalsCall, WriteAnswer, WriteCall
from hoistsaddle.shelf.commands import pack_command, unpack_outcome
from hoistsaddle.shelf.state import GONE, READY, WARDEN, WINDING_DOWN
from hoistsaddle.shelf.view import read_view
from hoistsaddle.stall.core import StallCore, StallParamsView
from hoistsaddle.stall.messages import (
    ANSWERED,
    Announce,
    AnswerPass,
    AnswerVisitor,
    AskHold,
    HoldAnswered,
    LeaseRenewed,
    PassAnswered,
    PassArrived,
    PassMissed,
    PassOn,
    ReportVitals,
    RequestArrived,
    RequestGone,
    RunServer,
    ServerAnswered,
    ServerMissed,
    SetupChanged,
    StopAsked,
    Ticked,
    VitalsArrived,
)
from hoistsaddle.tally.counters import Counters
from hoistsaddle.tally.mishaps import Mishap, MishapKind
from hoistsaddle.tally.moments import milliseconds, monotonic_now
from hoistsaddle.tally.params import StallParams, split_address
from hoistsaddle.tariff.bundle import LARGEST_BODY

TICK = milliseconds(50)
# A gap this long between ticks means the process stood still; what is read right after may be old.
FROZEN_GAP = milliseconds(400)
VITALS_EVERY = milliseconds(400)
POLL_SPAN = milliseconds(600)
HOLD_SPAN = milliseconds(1200)
STOP_SPAN = timedelta(seconds=20)
# Hop-by-hop headers and the mesh's own names never pass from one side to the other.
_dropped = frozenset({"connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade", "host", "content-length", "expect", "accept-encoding", "content-encoding"})
_mesh_prefix = "x-hoistsaddle-"


def clean_headers(headers) -> dict[str, str]:
    """What a caller says of itself in the mesh's names is stripped: identity comes from the mesh alone."""
    return {name: value for name, value in headers.items() if name.lower() not in _dropped and not name.lower().startswith(_mesh_prefix)}


def path_mishap(raw_path: str) -> Mishap | None:
    # A path that two programs could read differently must not pass a gate that compares paths.
    lowered = raw_path.lower()
    if any(part in lowered for part in ("%2f", "%2e", "%5c", "%00", "\\", "//", "/../", "/./")) or lowered.endswith(("/..", "/.")):
        return Mishap(MishapKind.REQUEST_BROKEN, "The path has parts that can be read two ways.", "Send a plain path.", "path")
    return None


class StallService(Service):
    def __init__(self, *, params: StallParams) -> None:
        super().__init__()
        self.params = params
        self.incarnation = secrets.token_hex(6)
        self.counters = Counters(owner=params.name)

    async def start(self) -> None:
        params = self.params
        span = timedelta(seconds=params.lease_seconds)
        self.core = StallCore(
            params=StallParamsView(params.name, params.zone, self.incarnation, span, timedelta(seconds=params.vitals_seconds), params.backlog),
            seed=random.Random(), now=monotonic_now(),
        )
        self.lines = Lines()
        self.relay = Relay(node=params.name, incarnation=self.incarnation, lease_span=span)
        self.news = asyncio.Condition()
        self.answers: dict[int, asyncio.Future] = {}
        self.tickets = 0
        self.work: set[asyncio.Task] = set()
        self.ticked_at = monotonic_now()
        self.bourses: list[str] = list(params.seeds)
        self.vitals_due = asyncio.Event()
        self.vitals_told = (0, "")
        # Each run has a connection of its own: a kept one may die under a request and tempt a library to repeat it.
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(force_close=True, limit=0), auto_decompress=False, cookie_jar=aiohttp.DummyCookieJar())
        me = Rumour(params.name, "stall", params.listen, params.zone, self.incarnation, 0, ALIVE)
        self.member = Member(me=me, seeds=params.seeds, lines=self.lines, counters=self.counters, changed=lambda rumour: None)
        self.server = LineServer(address=params.listen, handler=self.answer)
        await self.server.start()
        self.runners = [await self._open_door(params.visitors, inner=False), await self._open_door(params.inner, inner=True)]
        self.tasks = [asyncio.ensure_future(work) for work in (self.member.run(), self._poll(), self._ticks(), self._tell_vitals())]
        self.counters.happen("stall up", incarnation=self.incarnation)
        self.start_event.set()
        await asyncio.gather(*self.tasks)

    async def stop(self, exception: Exception | None = None) -> None:
        """Planned: refuse new work at once, have the log mark the server, finish what is mid-answer, then go."""
        self.feed(StopAsked())
        deadline = monotonic_now() + STOP_SPAN
        while monotonic_now() < deadline and not (self.core.idle() and self._told_stopping()):
            await asyncio.sleep(TICK.total_seconds())
        # Others may still have requests on their way here for as long as their news can be old.
        await asyncio.sleep(milliseconds(300).total_seconds())
        for task in self.tasks:
            task.cancel()
        for runner in self.runners:
            await runner.cleanup()
        self.member.stop()
        await self.server.stop()
        await self.session.close()
        self.lines.close()

    def _told_stopping(self) -> bool:
        return self.core.server is None or (self.vitals_told[0] >= self.core.serial and self.vitals_told[1] != READY)

    # -- the owner ---------------------------------------------------------------------------------------------------

    def feed(self, event: tuple) -> None:
        for command in self.core.handle(event, now=monotonic_now()):
            match command:
                case AnswerVisitor(ticket=ticket) | AnswerPass(ticket=ticket):
                    future = self.answers.pop(ticket, None)
                    if future is not None and not future.done():
                        future.set_result(command)
                case AskHold():
                    self._spawn(self._ask_hold(command))
                case PassOn():
                    self._spawn(self._pass_on(command))
                case RunServer():
                    self._spawn(self._run_server(command))
                case ReportVitals():
                    self.vitals_due.set()
                case Announce(kind=kind, detail=detail):
                    self.counters.happen(kind, **detail)

    def _spawn(self, work) -> None:
        task = asyncio.ensure_future(work)
        self.work.add(task)
        task.add_done_callback(self.work.discard)

    def _ticket(self) -> tuple[int, asyncio.Future]:
        self.tickets += 1
        future = self.answers[self.tickets] = asyncio.get_running_loop().create_future()
        return self.tickets, future

    async def _ticks(self) -> None:
        while True:
            now = monotonic_now()
            if now - self.ticked_at > FROZEN_GAP:
                self.counters.happen("stood still", seconds=round((now - self.ticked_at).total_seconds(), 3))
            self.ticked_at = now
            self.feed(Ticked())
            await asyncio.sleep(TICK.total_seconds())

    def _frozen(self) -> bool:
        return monotonic_now() - self.ticked_at > FROZEN_GAP

    # -- doors -------------------------------------------------------------------------------------------------------

    async def _open_door(self, address: str, *, inner: bool) -> web.AppRunner:
        application = web.Application(client_max_size=LARGEST_BODY + 1024)
        application.router.add_get("/hoistsaddle/ready", self._ready)
        application.router.add_get("/hoistsaddle/counters", self._counters)
        application.router.add_get("/hoistsaddle/happenings", self._happenings)
        if inner:
            application.router.add_post("/hoistsaddle/vitals", self._take_vitals)
        application.router.add_route("*", "/{tail:.*}", self._inner if inner else self._visitor)
        runner = web.AppRunner(application, access_log=None, shutdown_timeout=5)
        await runner.setup()
        host, port = split_address(address)
        await web.TCPSite(runner, host, port).start()
        return runner

    async def _ready(self, request: web.Request) -> web.Response:
        mishap = self.core.ready()
        state = {"ready": mishap is None, "bundle": self.core.view.bundle_number, "revision": self.core.view.revision, "server": self.core.server_state()}
        if mishap is not None:
            state["why"] = mishap.describe()
        return web.json_response(state, status=200 if mishap is None else 503)

    async def _counters(self, request: web.Request) -> web.Response:
        return web.json_response(self.counters.read())

    async def _happenings(self, request: web.Request) -> web.Response:
        after = request.query.get("after", "0")
        return web.json_response(self.counters.happenings(after=int(after) if after.isdigit() else 0))

    async def _take_vitals(self, request: web.Request) -> web.Response:
        broken = Mishap(MishapKind.REQUEST_BROKEN, "The vitals can't be read.", 'Send JSON with service, instance, address and state "ready" or "winding down".', "body")
        try:
            told = msgspec.json.decode(await request.read(), type=dict[str, str])
        except (msgspec.DecodeError, msgspec.ValidationError):
            return web.json_response({"refused": broken.describe()}, status=400)
        if not all(told.get(field) for field in ("service", "instance", "address", "state")) or told["state"] not in (READY, WINDING_DOWN, GONE):
            return web.json_response({"refused": broken.describe()}, status=400)
        self.feed(VitalsArrived(told["service"], told["instance"], told["address"], told["state"]))
        return web.json_response({"heard": True})

    async def _visitor(self, request: web.Request) -> web.Response:
        # A visitor is known by the credentials it shows, or else by where it calls from.
        shown = request.headers.get("Authorization") or request.headers.get("Cookie") or f"from {request.remote}"
        return await self._request(request, caller="", visitor=hashlib.sha256(shown.encode()).hexdigest()[:32])

    async def _inner(self, request: web.Request) -> web.Response:
        server = self.core.server
        if server is None or self.core.server_state() == GONE:
            mishap = Mishap(MishapKind.NO_SERVER, "No server has reported its vitals here.", "Post vitals to /hoistsaddle/vitals first.")
            return self._respond(AnswerVisitor(0, "refused", 403, {}, b"", mishap, None))
        return await self._request(request, caller=server.service, visitor=f"service {server.service}")

    async def _request(self, request: web.Request, *, caller: str, visitor: str) -> web.Response:
        raw_path, _, query = request.raw_path.partition("?")
        if (mishap := path_mishap(raw_path)) is not None:
            return self._respond(AnswerVisitor(0, "refused", 400, {}, b"", mishap, None))
        try:
            body = await request.read()
        except web.HTTPRequestEntityTooLarge:
            mishap = Mishap(MishapKind.BODY_TOO_LARGE, f"The body is over {LARGEST_BODY} bytes.", "Send a smaller body.", "body")
            return self._respond(AnswerVisitor(0, "refused", 413, {}, b"", mishap, None))
        ticket, future = self._ticket()
        self.counters.add("requests.inner" if caller else "requests.visitors")
        event = RequestArrived(ticket, caller, visitor, request.method, raw_path, query, clean_headers(request.headers), body, request.headers.get("Idempotency-Key", ""))
        self.feed(event)
        try:
            answer = await future
        except asyncio.CancelledError:
            self.feed(RequestGone(ticket))
            raise
        return self._respond(answer)

    def _respond(self, answer: AnswerVisitor) -> web.Response:
        self.counters.add(f"outcomes.{answer.outcome}")
        headers = {"X-Hoistsaddle-Outcome": answer.outcome}
        if answer.retry_after is not None:
            headers["Retry-After"] = str(max(1, round(answer.retry_after.total_seconds())))
        if answer.outcome == ANSWERED:
            return web.Response(status=answer.status, headers={**answer.headers, **headers}, body=answer.body)
        self.counters.add(f"mishaps.{answer.mishap.kind}")
        # A kept connection would carry the rest of a body nobody read.
        return web.json_response({"outcome": answer.outcome, "mishap": answer.mishap.describe()}, status=answer.status, headers=headers)

    # -- calls from the mesh -----------------------------------------------------------------------------------------

    async def answer(self, message: tuple) -> tuple | None:
        match message:
            case PassCall():
                ticket, future = self._ticket()
                self.feed(PassArrived(ticket, message, self._frozen()))
                return (await future).answer
            case PollCall():
                self.relay.heard(message.uptakes, now=monotonic_now())
                return await hold_poll(relay=self.relay, news=self.news, call=message)
            case ProbeCall() | ProbeForCall():
                return await self.member.answer(message)
        return None

    # -- commands ----------------------------------------------------------------------------------------------------

    async def _ask_hold(self, ask: AskHold) -> None:
        self.counters.add(f"holds.{type(ask.command).__name__}")
        call = WriteCall(self.params.name, (pack_command(ask.command),))
        deadline = monotonic_now() + HOLD_SPAN
        for address in list(self.bourses) * 2:
            left = deadline - monotonic_now()
            if left <= timedelta():
                break
            match await self.lines.call(address, call, within=left):
                case Success(WriteAnswer(mishap="", outcomes=(outcome,))):
                    self.feed(HoldAnswered(ask.number, unpack_outcome(outcome)))
                    return
                case _:
                    # The next bourse may reach the leader; the command is the same command there.
                    if self.bourses and self.bourses[0] == address:
                        self.bourses = [*self.bourses[1:], address]
        self.counters.add("holds.mishaps")
        self.feed(HoldAnswered(ask.number, None))

    async def _pass_on(self, command: PassOn) -> None:
        self.counters.add(f"sends.{command.call.service_name}")
        # Directly before the pass-on: a freeze between deciding and sending makes both lease and budget old.
        if self._frozen() or not self.core.fresh():
            self.feed(PassMissed(command.number, True))
            return
        match await self.lines.call(command.address, command.call, within=command.within):
            case Success(PassAnswer() as answer):
                self.feed(PassAnswered(command.number, answer))
            case result:
                self.feed(PassMissed(command.number, result.failure().kind == MishapKind.UNREACHABLE))

    async def _run_server(self, command: RunServer) -> None:
        call = command.call
        headers = {**call.headers, "X-Hoistsaddle-Caller": call.caller, "X-Hoistsaddle-Visitor": call.visitor, "X-Hoistsaddle-Send": call.send, "X-Hoistsaddle-Service": call.service_name, "X-Hoistsaddle-Instance": call.instance}
        self.counters.add("runs")
        silent = Mishap(MishapKind.SILENT, "The server gave no whole answer.", "Ask what became of the request before sending it again.")
        broken = Mishap(MishapKind.ANSWER_BROKEN, "The server's answer is not whole JSON.", "Ask what became of the request before sending it again.")
        try:
            timeout = aiohttp.ClientTimeout(total=command.within.total_seconds())
            async with self.session.request(call.method, f"http://{command.address}{call.path}", headers=headers, data=call.body or None, timeout=timeout, allow_redirects=False) as answer:
                body = await answer.content.read(LARGEST_BODY + 1)
                while not answer.content.at_eof() and len(body) <= LARGEST_BODY:
                    body += await answer.content.read(LARGEST_BODY + 1 - len(body))
                mishap = self._answer_mishap(call, answer, body)
                if mishap is None:
                    self.feed(ServerAnswered(command.number, answer.status, clean_headers(answer.headers), body))
                    return
        except aiohttp.ClientConnectorError:
            self.feed(ServerMissed(command.number, True, Mishap(MishapKind.UNREACHABLE, "The server takes no connection.", "Send it elsewhere.")))
            return
        except (aiohttp.ClientPayloadError, aiohttp.ClientResponseError):
            mishap = broken
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
            mishap = silent
        self.counters.add(f"runs.{mishap.kind}")
        self.feed(ServerMissed(command.number, False, mishap))

    @staticmethod
    def _answer_mishap(call: PassCall, answer: aiohttp.ClientResponse, body: bytes) -> Mishap | None:
        """Whole and readable, or not passed on at all."""
        if len(body) > LARGEST_BODY or (not call.hold and len(body) > call.answer_bytes):
            return Mishap(MishapKind.ANSWER_TOO_LARGE, "The answer is over its limit.", "Raise answer_bytes in a bundle, or have the server say less.", "answer_bytes")
        length = answer.headers.get("Content-Length")
        chunked = "chunked" in answer.headers.get("Transfer-Encoding", "").lower()
        # An answer that ends only where its connection ends may have been cut anywhere.
        unmarked = bool(body) and length is None and not chunked
        short = length is not None and call.method != "HEAD" and length != str(len(body))
        if unmarked or short or "Content-Encoding" in answer.headers:
            return Mishap(MishapKind.ANSWER_BROKEN, "Nothing shows that the answer is whole.", "Have the server send Content-Length and plain JSON.")
        if body:
            try:
                msgspec.json.decode(body)
            except msgspec.DecodeError:
                return Mishap(MishapKind.ANSWER_BROKEN, "The answer is not JSON.", "Look at the server's log.")
        return None

    # -- news and vitals ---------------------------------------------------------------------------------------------

    def _uptake(self) -> Uptake:
        view = self.core.view
        return Uptake(self.params.name, view.revision, view.bundle_number, view.refusal, self.incarnation, view.refused_bundle)

    def _parents(self) -> list[str]:
        members = self.member.core
        stalls = [(member.node, member.address) for member in members.alive(kind="stall")]
        roots = [(member.node, member.address) for member in members.alive(kind="bourse")]
        parents = select_parents(node=self.params.name, stalls=stalls, roots=roots)
        return parents + [seed for seed in self.params.seeds if seed not in parents]

    async def _poll(self) -> None:
        turn = 0
        while True:
            parents = self._parents()
            # The tree's parent first; each failure moves on towards the roots.
            address = parents[turn % len(parents)]
            sent = monotonic_now()
            match await self.lines.call(address, self.relay.poll(own=self._uptake(), now=sent), within=POLL_SPAN):
                case Success(PollAnswer() as answer) if not answer.mishap:
                    before = self.relay.lease_start
                    if self.relay.polled(answer, sent=sent):
                        view = read_view(revision=self.relay.copy.revision, items=self.relay.copy.items, node=self.params.name, zone=self.params.zone, before=self.core.view)
                        self.counters.add("news.taken")
                        self.feed(SetupChanged(view))
                        known = [node.address for node in view.nodes.values() if node.kind == "bourse" and node.state != GONE]
                        self.bourses = [each for each in self.bourses if each in known] + [each for each in known if each not in self.bourses] or list(self.params.seeds)
                    if self.relay.lease_start is not None:
                        self.feed(LeaseRenewed(self.relay.lease_start))
                        self.counters.gauge("lease.age_milliseconds", (monotonic_now() - self.relay.lease_start).total_seconds() * 1000)
                    async with self.news:
                        self.news.notify_all()
                    # A parent that can't renew the lease is as good as none.
                    turn = 0 if self.relay.lease_start != before else turn + 1
                    continue
                case _:
                    self.counters.add("news.polls_missed")
            turn += 1
            await asyncio.sleep(milliseconds(30).total_seconds())

    async def _tell_vitals(self) -> None:
        turn = 0
        while True:
            server = self.core.server
            state = self.core.server_state() if server is not None else ""
            serial = self.core.serial
            call = VitalsCall(self.params.name, self.incarnation, self.params.listen, self.params.zone, server.service if server else "", server.instance if server else "", server.address if server else "", state, serial)
            duty = self.core.view.duties.get(WARDEN)
            warden = self.core.view.nodes.get(duty.node) if duty is not None else None
            addresses = ([warden.address] if warden is not None and turn == 0 else []) + self.bourses
            self.vitals_due.clear()
            match await self.lines.call(addresses[turn % len(addresses)], call, within=milliseconds(900)):
                case Success(VitalsAnswer(mishap="") as answer):
                    self.vitals_told = (serial, answer.state)
                    turn = 0
                case _:
                    self.counters.add("vitals.missed")
                    turn += 1
                    await asyncio.sleep(milliseconds(50).total_seconds())
                    continue
            try:
                async with asyncio.timeout(VITALS_EVERY.total_seconds()):
                    await self.vitals_due.wait()
            except TimeoutError:
                pass
