"""The operators' door: HTTP/1.1 with JSON. Every refusal has a kind, the field and the remedy."""
import asyncio
import hashlib
import secrets
from datetime import timedelta
from typing import TYPE_CHECKING

import msgspec
from aiohttp import web
from returns.result import Failure, Result, Success

from hoistsaddle.haggle.parcels import FoundAnswer, FoundCall, LookAnswer, LookCall
from hoistsaddle.shelf.commands import AbortBundle, AdvanceBundle, Command, DrainServer, Outcome, SignBundle, SubmitBundle
from hoistsaddle.tally.mishaps import Mishap, MishapKind
from hoistsaddle.tally.moments import milliseconds, monotonic_now
from hoistsaddle.tally.params import split_address
from hoistsaddle.tariff.bundle import Stage, read_bundle

if TYPE_CHECKING:
    from hoistsaddle.bourse.service import BourseService

WRITE_SPAN = timedelta(seconds=8)
_statuses = {
    MishapKind.OPERATOR_UNKNOWN: 401,
    MishapKind.REQUEST_BROKEN: 400,
    MishapKind.BUNDLE_BROKEN: 422,
    MishapKind.NO_LEADER: 503,
    MishapKind.NOT_FOUNDED: 503,
    MishapKind.UNREACHABLE: 503,
    MishapKind.BUNDLE_UNKNOWN: 404,
    MishapKind.NO_SERVER: 404,
}


def _refuse(mishap: Mishap) -> web.Response:
    status = _statuses.get(mishap.kind, 409)
    # Whoever is told to come back is told when.
    headers = {"Retry-After": "1"} if status == 503 else {}
    return web.json_response({"refused": mishap.describe()}, status=status, headers=headers)


def _refuse_outcome(outcome: Outcome) -> web.Response:
    return _refuse(Mishap(outcome.mishap, outcome.message, outcome.remedy, outcome.field))


class OperatorDoor:
    def __init__(self, *, bourse: "BourseService") -> None:
        self.bourse = bourse
        self.runner: web.AppRunner | None = None

    async def start(self) -> None:
        application = web.Application(client_max_size=4 * 1024 * 1024, middlewares=[self._guard])
        application.add_routes([
            web.post("/found", self.found),
            web.get("/core", self.core),
            web.get("/setup", self.setup),
            web.get("/uptake", self.uptake),
            web.post("/bundles", self.submit),
            web.get("/bundles/{number}", self.show),
            web.post("/bundles/{number}/sign", self.sign),
            web.post("/bundles/{number}/advance", self.advance),
            web.post("/bundles/{number}/abort", self.abort),
            web.post("/servers/{stall}/drain", self.drain),
            web.get("/counters", self.counters),
            web.get("/happenings", self.happenings),
        ])
        self.runner = web.AppRunner(application, access_log=None, shutdown_timeout=2)
        await self.runner.setup()
        host, port = split_address(self.bourse.params.operators)
        await web.TCPSite(self.runner, host, port).start()

    async def stop(self) -> None:
        if self.runner is not None:
            await self.runner.cleanup()

    @web.middleware
    async def _guard(self, request: web.Request, handler) -> web.StreamResponse:
        try:
            return await handler(request)
        except (msgspec.DecodeError, msgspec.ValidationError, UnicodeDecodeError, ValueError) as problem:
            return _refuse(Mishap(MishapKind.REQUEST_BROKEN, f"The request can't be read: {problem}.", "Send what the operators' pages show.", "body"))
        except web.HTTPRequestEntityTooLarge:
            return _refuse(Mishap(MishapKind.REQUEST_BROKEN, "The body is too large.", "Keep a bundle under 4 MiB.", "body"))
        except web.HTTPException as problem:
            mishap = Mishap(MishapKind.REQUEST_BROKEN, f"{request.method} {request.path}: {problem.reason}.", "docs/operators/api.md lists the calls.", "path")
            return web.json_response({"refused": mishap.describe()}, status=problem.status)

    # -- who calls ---------------------------------------------------------------------------------------------------

    async def _operator(self, request: web.Request) -> Result[str, Mishap]:
        scheme, _, token = request.headers.get("Authorization", "").partition(" ")
        unknown = Failure(Mishap(MishapKind.OPERATOR_UNKNOWN, "No operator has this token.", "Send Authorization: Bearer with the token given at founding.", "Authorization"))
        if scheme != "Bearer" or not token:
            return unknown
        digest = hashlib.sha256(token.encode()).hexdigest()
        match await self.bourse.read_setup(part="operators"):
            case Success(answer):
                for name, known in msgspec.json.decode(answer.content).items():
                    if secrets.compare_digest(known, digest):
                        return Success(name)
                return unknown
            case Failure(mishap):
                return Failure(mishap)

    async def _write(self, command: Command) -> Result[Outcome, Mishap]:
        match await self.bourse.writer.write(command, within=WRITE_SPAN):
            case Success(outcome) if outcome.mishap:
                return Failure(Mishap(outcome.mishap, outcome.message, outcome.remedy, outcome.field))
            case result:
                return result

    @staticmethod
    def _request_id(request: web.Request) -> str:
        # The caller's own id makes its repetition of a call recognisable; without one each call stands alone.
        return request.headers.get("X-Request-Id") or secrets.token_hex(12)

    # -- bundles -----------------------------------------------------------------------------------------------------

    async def submit(self, request: web.Request) -> web.Response:
        match await self._operator(request):
            case Failure(mishap):
                return _refuse(mishap)
            case Success(author):
                pass
        text = (await request.read()).decode()
        # Checked here before the log is troubled; the log checks again, for what is in force may have moved.
        if isinstance(checked := read_bundle(text), Failure):
            return _refuse(checked.failure())
        match await self._write(SubmitBundle(self._request_id(request), author, text)):
            case Success(outcome):
                self.bourse.counters.happen("bundle submitted", number=outcome.detail["number"], author=author)
                return web.json_response({"submitted": outcome.detail})
            case Failure(mishap):
                self.bourse.counters.happen("bundle refused", mishap=str(mishap.kind), author=author)
                return _refuse(mishap)

    async def show(self, request: web.Request) -> web.Response:
        number = int(request.match_info["number"])
        match await self.bourse.read_setup():
            case Success(answer):
                setup = msgspec.json.decode(answer.content)
                for bundle in setup["bundles"]:
                    if bundle["number"] == number:
                        uptakes = await self.bourse.gather_uptakes()
                        machines = {
                            node["node"]: self._machine(uptakes.get(node["node"]), number) for node in setup["nodes"] if node["kind"] == "stall" and node["state"] != "gone"
                        }
                        return web.json_response({**bundle, "machines": machines})
                return _refuse(Mishap(MishapKind.BUNDLE_UNKNOWN, f"There is no bundle {number}.", "Submit it first.", "number"))
            case Failure(mishap):
                return _refuse(mishap)

    @staticmethod
    def _machine(uptake, number: int) -> str:
        if uptake is None:
            return "not heard"
        if uptake.refused_bundle == number:
            return f"refused: {uptake.refusal}"
        return "in force" if uptake.bundle == number else f"on bundle {uptake.bundle}"

    async def sign(self, request: web.Request) -> web.Response:
        body = await self._body(request)
        number = int(request.match_info["number"])
        return await self._roll(request, lambda operator: SignBundle(self._request_id(request), operator, number, str(body.get("digest", ""))), "bundle signed")

    async def advance(self, request: web.Request) -> web.Response:
        body = await self._body(request)
        number = int(request.match_info["number"])
        from_stage = int(body.get("from_stage", 0))
        return await self._roll(request, lambda operator: AdvanceBundle(self._request_id(request), operator, number, from_stage), "bundle advanced")

    async def abort(self, request: web.Request) -> web.Response:
        number = int(request.match_info["number"])
        return await self._roll(request, lambda operator: AbortBundle(self._request_id(request), operator, number), "bundle aborted")

    async def drain(self, request: web.Request) -> web.Response:
        body = await self._body(request)
        stall = request.match_info["stall"]
        return await self._roll(request, lambda operator: DrainServer(self._request_id(request), operator, stall, bool(body.get("drain", True))), "server drained")

    @staticmethod
    async def _body(request: web.Request) -> dict:
        data = await request.read()
        return msgspec.json.decode(data, type=dict) if data else {}

    async def _roll(self, request: web.Request, make, kind: str) -> web.Response:
        """Writes a change and answers "accepted" only once no stall concerned can act on the setup before it."""
        match await self._operator(request):
            case Failure(mishap):
                return _refuse(mishap)
            case Success(operator):
                pass
        match await self._write(make(operator)):
            case Failure(mishap):
                self.bourse.counters.happen("operator refused", wanted=kind, mishap=str(mishap.kind), operator=operator)
                return _refuse(mishap)
            case Success(outcome):
                committed = monotonic_now()
        self.bourse.counters.happen(kind, operator=operator, **outcome.detail)
        await self.bourse.refresh(within=milliseconds(1200))
        revision = outcome.detail["offset"]
        stalls = self._concerned(outcome.detail)
        standing = await self.bourse.await_uptake(revision=revision, stalls=stalls, committed=committed)
        spent = (monotonic_now() - committed).total_seconds()
        self.bourse.counters.gauge("acceptance.seconds", spent)
        refused = sorted(stall for stall, state in standing.items() if state.startswith("refused"))
        answer = {"accepted": not refused, "operator": operator, **outcome.detail, "revision": revision, "machines": standing, "seconds": round(spent, 3)}
        if refused:
            answer["refused"] = Mishap(
                MishapKind.BUNDLE_REFUSED, f"{', '.join(refused)} refused it.", "Abort the roll-out, or replace those machines' release, then advance.", "number"
            ).describe()
        self.bourse.counters.happen("in force" if not refused else "stage refused", revision=revision, seconds=round(spent, 3), what=kind)
        return web.json_response(answer, status=409 if refused else 200)

    def _concerned(self, detail: dict) -> list[str]:
        view = self.bourse.view
        stalls = view.live_stalls()
        stages: list[Stage] | None = None
        if "stage" in detail and (item := self.bourse.relay.copy.items.get(f"bundle:{detail['number']}")):
            _, _, text = msgspec.msgpack.decode(item[1])
            stages = read_bundle(text).unwrap().rollout()[: detail["stage"]]
        return sorted(stall.node for stall in stalls if stages is None or any(stage.holds(stall=stall.node, zone=stall.zone) for stage in stages))

    # -- reading -----------------------------------------------------------------------------------------------------

    async def setup(self, request: web.Request) -> web.Response:
        match await self.bourse.read_setup():
            case Success(answer):
                return web.Response(body=answer.content, content_type="application/json")
            case Failure(mishap):
                return _refuse(mishap)

    async def uptake(self, request: web.Request) -> web.Response:
        return web.json_response({node: uptake._asdict() for node, uptake in sorted((await self.bourse.gather_uptakes()).items())})

    async def counters(self, request: web.Request) -> web.Response:
        looks = await self._look_all()
        warehouses = [msgspec.json.decode(look.counters) for look in looks.values() if look is not None]
        return web.json_response({"bourse": self.bourse.counters.read(), "warehouses": warehouses})

    async def happenings(self, request: web.Request) -> web.Response:
        """The bourse's own changes of state, or a warehouse's beside it: the outside calls are taken here for both."""
        after = int(request.query.get("after", "0"))
        if "warehouse" in request.query:
            replica = int(request.query["warehouse"])
            look = (await self._look_all()).get(replica)
            found = [] if look is None else [each for each in msgspec.json.decode(look.happenings) if each["number"] > after]
            return web.json_response(found)
        return web.json_response(self.bourse.counters.happenings(after=after))

    # -- the core machines -------------------------------------------------------------------------------------------

    async def _look_all(self) -> dict[int, LookAnswer | None]:
        warehouses = self.bourse.warehouses
        answers = await asyncio.gather(*(self.bourse.lines.call(address, LookCall(self.bourse.node), within=milliseconds(600)) for address in warehouses.values()))
        return {replica: answer.unwrap() if isinstance(answer, Success) else None for replica, answer in zip(warehouses, answers, strict=True)}

    async def core(self, request: web.Request) -> web.Response:
        machines = {}
        looks = await self._look_all()
        for replica, look in looks.items():
            machines[replica] = {"standing": "unreachable"} if look is None else {
                field: getattr(look, field) for field in ("mesh", "incarnation", "epoch", "leader", "standing", "last_offset", "high_watermark", "begin_offset")
            }
        answer: dict = {"machines": machines}
        # More loss than the deployment can stand is said aloud, with the way out.
        blank = [replica for replica, look in looks.items() if look is not None and look.standing in ("blank", "observer", "catching up")]
        led = any(look is not None and look.standing == "leader" for look in looks.values())
        missing = [replica for replica, look in looks.items() if look is None]
        if not led and (len(blank) + len(missing)) * 2 > len(looks):
            answer["refused"] = Mishap(
                MishapKind.NO_LEADER, f"Replicas {sorted(blank + missing)} hold no voter's disk, so no majority is left.",
                "Bring back the machines with their disks; if the disks are lost for good, follow docs/operators/replacing-core-machines.md.", "core",
            ).describe()
        return web.json_response(answer)

    async def found(self, request: web.Request) -> web.Response:
        """Founding is explicit: all core machines must be reachable and blank, or hold this very founding."""
        body = await self._body(request)
        operators = body.get("operators")
        if not isinstance(operators, dict) or len(operators) < 2 or not all(isinstance(name, str) and isinstance(digest, str) and len(digest) == 64 for name, digest in operators.items()):
            return _refuse(Mishap(MishapKind.REQUEST_BROKEN, "Founding needs at least two operators with token digests.", "Give name = sha256 hex digest for each; an author and a signer must differ.", "operators"))
        looks = await self._look_all()
        missing = sorted(replica for replica, look in looks.items() if look is None)
        if missing:
            return _refuse(Mishap(MishapKind.UNREACHABLE, f"Warehouses {missing} give no answer.", "Start every core machine before founding.", "core"))
        meshes = {look.mesh for look in looks.values() if look.mesh}
        if meshes:
            return _refuse(Mishap(MishapKind.ALREADY_FOUNDED, f"Mesh {sorted(meshes)} is founded on these machines.", "Nothing to do; a blank machine among them rejoins by itself.", "mesh"))
        mesh = secrets.token_hex(6)
        voters = {replica: look.incarnation for replica, look in looks.items()}
        answers = await asyncio.gather(*(self.bourse.lines.call(address, FoundCall(mesh, voters, operators), within=timedelta(seconds=5)) for address in self.bourse.warehouses.values()))
        done = [answer for answer in answers if isinstance(answer, Success) and isinstance(answer.unwrap(), FoundAnswer) and not answer.unwrap().mishap]
        if len(done) * 2 <= len(voters):
            return _refuse(Mishap(MishapKind.NOT_FOUNDED, f"Only {len(done)} of {len(voters)} warehouses took the founding.", "Wipe the data folders of those that did and found again.", "core"))
        return web.json_response({"mesh": mesh, "voters": voters})
