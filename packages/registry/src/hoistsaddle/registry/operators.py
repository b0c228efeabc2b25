"""The operators' door: HTTP/1.1 with JSON. Every refusal has a kind, the field and the remedy."""

import asyncio
import secrets
from datetime import timedelta
from typing import TYPE_CHECKING, Annotated

import msgspec
from aiohttp import web
from returns.result import Failure, Result, Success

from hoistsaddle.common.clock import milliseconds
from hoistsaddle.common.errors import Mishap, MishapKind
from hoistsaddle.common.reading import plain_name, read_body, whole_number
from hoistsaddle.common.settings import split_address
from hoistsaddle.registry.desk import Desk
from hoistsaddle.rpc.messages import FoundAnswer, FoundCall, LookAnswer, LookCall
from hoistsaddle.statemachine.people import digest_like, operator_name

if TYPE_CHECKING:
    from hoistsaddle.registry.service import Registry

DISK_WAIT = timedelta(seconds=1)
_statuses: dict[str, int] = {
    MishapKind.OPERATOR_UNKNOWN: 401,
    MishapKind.REQUEST_BROKEN: 400,
    MishapKind.BUNDLE_BROKEN: 422,
    MishapKind.ITEM_BROKEN: 422,
    MishapKind.ITEM_CONFLICT: 409,
    # Neither taken nor refused.
    MishapKind.ORDER_UNSURE: 503,
    MishapKind.NO_LEADER: 503,
    MishapKind.UNSURE: 503,
    MishapKind.NOT_FOUNDED: 503,
    MishapKind.UNREACHABLE: 503,
    MishapKind.BUNDLE_UNKNOWN: 404,
    MishapKind.NO_SERVER: 404,
    MishapKind.RELEASE_LEVEL: 503,
}


def refuse_call(mishap: Mishap) -> web.Response:
    status = _statuses.get(mishap.kind, 409)
    # Whoever is told to come back is told when.
    headers = {"Retry-After": "1"} if status == 503 else {}
    return web.json_response({"refused": mishap.describe()}, status=status, headers=headers)


class _Sign(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    digest: str


class _Advance(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    from_stage: Annotated[int, msgspec.Meta(ge=0, le=10000)]


class _Drain(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    drain: bool = True


class _Digest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    digest: Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{64}$")]


class _Change(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    change: str


class _Found(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    operators: dict[str, str]


def ready_of(*, own: LookAnswer | None, fresh: bool) -> dict:
    """Whether a core machine does its whole part. Only then may the next one be stopped."""
    match own:
        case None:
            why = (MishapKind.UNREACHABLE, "Its warehouse gives no answer.", "Start it, or look at its log.")
        case LookAnswer(halted=halted) if halted:
            why = (MishapKind.OTHER_RELEASE, f"Its warehouse has stopped: {halted}.", "Install the mesh's release.")
        case LookAnswer(standing=standing) if standing not in ("leader", "follower"):
            why = (MishapKind.UNSURE, f"Its warehouse is {standing}.", "Wait: it catches up and then votes.")
        case LookAnswer(leader=leader) if leader < 0:
            why = (MishapKind.NO_LEADER, "Its warehouse follows no leader.", "Wait, or see the core machines' page.")
        case LookAnswer(unsynced=unsynced) if unsynced > DISK_WAIT:
            why = (MishapKind.DISK, f"Its disk has not synced for {unsynced.total_seconds():.1f} s.", "Free it.")
        case _ if not fresh:
            why = (MishapKind.LEASE_LAPSED, "Its bourse has no fresh news from a leader.", "Check the way to it.")
        case _:
            why = None
    state: dict = {"ready": why is None, "standing": "unreachable" if own is None else own.standing}
    return state if why is None else {**state, "why": Mishap(*why).describe()}


class OperatorDoor:
    def __init__(self, *, bourse: "Registry") -> None:
        self.bourse = bourse
        self.desk = Desk(bourse=bourse)
        self.runner: web.AppRunner | None = None

    async def start(self) -> None:
        application = web.Application(client_max_size=4 * 1024 * 1024, middlewares=[self._guard])
        application.add_routes(
            [
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
                web.get("/operators", self.operators),
                web.post("/operators/{name}", self.change_operator),
                web.post("/operators/{name}/remove", self.remove_operator),
                web.post("/operators/{name}/sign", self.sign_operator),
                web.post("/operators/{name}/drop", self.drop_operator),
                web.get("/holds", self.holds),
                web.get("/ready", self.ready),
                web.get("/counters", self.counters),
                web.get("/happenings", self.happenings),
            ]
        )
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
        except (msgspec.DecodeError, msgspec.ValidationError, ValueError, RecursionError) as problem:
            return refuse_call(
                Mishap(
                    MishapKind.REQUEST_BROKEN,
                    f"The request can't be read: {problem}.",
                    "Send what the operators' pages show.",
                    "body",
                )
            )
        except web.HTTPRequestEntityTooLarge:
            return refuse_call(
                Mishap(MishapKind.REQUEST_BROKEN, "The body is too large.", "Keep a bundle under 4 MiB.", "body")
            )
        except web.HTTPException as problem:
            mishap = Mishap(
                MishapKind.REQUEST_BROKEN,
                f"{request.method} {request.path}: {problem.reason}.",
                "docs/operators/api.md lists the calls.",
                "path",
            )
            return web.json_response({"refused": mishap.describe()}, status=problem.status)

    async def _as_operator(self, request: web.Request, work, *read: Result) -> web.Response:
        """Does an operator's work with what was read of the call, once all of it is right and it is known who asks."""
        # The caller's own id makes its repetition of a call recognisable; without one each call stands alone.
        given = plain_name(request.headers.get("X-Request-Id") or secrets.token_hex(12), field="X-Request-Id")
        for part in (given, *read):
            if isinstance(part, Failure):
                return refuse_call(part.failure())
        scheme, _, token = request.headers.get("Authorization", "").partition(" ")
        match await self.desk.operator_of(token if scheme == "Bearer" else ""):
            case Failure(mishap):
                return refuse_call(mishap)
            case Success(operator):
                pass
        match await work(operator, given.unwrap(), *(part.unwrap() for part in read)):
            case Failure(mishap):
                return refuse_call(mishap)
            case Success(answer):
                return web.json_response(answer, status=409 if "refused" in answer else 200)

    @staticmethod
    def _number(request: web.Request) -> Result[int, Mishap]:
        return whole_number(request.match_info["number"], field="number", least=1)

    @staticmethod
    def _name(request: web.Request, field: str) -> Result[str, Mishap]:
        return plain_name(request.match_info[field], field=field)

    @staticmethod
    async def _body(request: web.Request, kind: type) -> Result:
        return read_body(await request.read(), kind)

    # -- bundles -----------------------------------------------------------------------------------------------------

    async def submit(self, request: web.Request) -> web.Response:
        text = (await request.read()).decode()
        return await self._as_operator(
            request, lambda operator, call: self.desk.submit(author=operator, text=text, request=call)
        )

    async def show(self, request: web.Request) -> web.Response:
        if isinstance(read := self._number(request), Failure):
            return refuse_call(read.failure())
        number = read.unwrap()
        match await self.bourse.read_setup():
            case Success(answer):
                setup = msgspec.json.decode(answer.content)
                for bundle in setup["bundles"]:
                    if bundle["number"] == number:
                        uptakes = await self.bourse.gather_uptakes()
                        machines = {
                            node["node"]: self._machine(uptakes.get(node["node"]), number)
                            for node in setup["nodes"]
                            if node["kind"] == "stall" and node["state"] != "gone"
                        }
                        return web.json_response({**bundle, "machines": machines})
                return refuse_call(
                    Mishap(MishapKind.BUNDLE_UNKNOWN, f"There is no bundle {number}.", "Submit it first.", "number")
                )
            case Failure(mishap):
                return refuse_call(mishap)

    @staticmethod
    def _machine(uptake, number: int) -> str:
        if uptake is None:
            return "not heard"
        if uptake.refused_bundle == number:
            return f"refused: {uptake.refusal}"
        return "in force" if uptake.bundle == number else f"on bundle {uptake.bundle}"

    async def sign(self, request: web.Request) -> web.Response:
        return await self._as_operator(
            request,
            lambda operator, call, number, body: self.desk.sign(
                operator=operator, number=number, digest=body.digest, request=call
            ),
            self._number(request),
            await self._body(request, _Sign),
        )

    async def advance(self, request: web.Request) -> web.Response:
        return await self._as_operator(
            request,
            lambda operator, call, number, body: self.desk.advance(
                operator=operator, number=number, from_stage=body.from_stage, request=call
            ),
            self._number(request),
            await self._body(request, _Advance),
        )

    async def abort(self, request: web.Request) -> web.Response:
        return await self._as_operator(
            request,
            lambda operator, call, number: self.desk.abort(operator=operator, number=number, request=call),
            self._number(request),
        )

    async def drain(self, request: web.Request) -> web.Response:
        return await self._as_operator(
            request,
            lambda operator, call, stall, body: self.desk.drain(
                operator=operator, stall=stall, drain=body.drain, request=call
            ),
            self._name(request, "stall"),
            await self._body(request, _Drain),
        )

    # -- operators ---------------------------------------------------------------------------------------------------

    async def operators(self, request: web.Request) -> web.Response:
        return await self._show("changes")

    async def change_operator(self, request: web.Request) -> web.Response:
        return await self._as_operator(
            request,
            lambda operator, call, name, body: self.desk.change_operator(
                operator=operator, name=name, digest=body.digest, request=call
            ),
            self._name(request, "name"),
            await self._body(request, _Digest),
        )

    async def remove_operator(self, request: web.Request) -> web.Response:
        return await self._as_operator(
            request,
            lambda operator, call, name: self.desk.change_operator(
                operator=operator, name=name, digest="", request=call
            ),
            self._name(request, "name"),
        )

    async def sign_operator(self, request: web.Request) -> web.Response:
        return await self._as_operator(
            request,
            lambda operator, call, name, body: self.desk.sign_operator(
                operator=operator, name=name, change=body.change, request=call
            ),
            self._name(request, "name"),
            await self._body(request, _Change),
        )

    async def drop_operator(self, request: web.Request) -> web.Response:
        return await self._as_operator(
            request,
            lambda operator, call, name: self.desk.drop_operator(operator=operator, name=name, request=call),
            self._name(request, "name"),
        )

    # -- reading -----------------------------------------------------------------------------------------------------

    async def _show(self, part: str) -> web.Response:
        match await self.bourse.read_setup(part=part):
            case Success(answer):
                return web.Response(body=answer.content, content_type="application/json")
            case Failure(mishap):
                return refuse_call(mishap)

    async def setup(self, request: web.Request) -> web.Response:
        return await self._show("setup")

    async def holds(self, request: web.Request) -> web.Response:
        """The spans the log keeps: keys with the time left, leaving servers with when they get no more work."""
        return await self._show("holds")

    async def ready(self, request: web.Request) -> web.Response:
        """The platform's ready check of this core machine: both its programs do their part, or why not."""
        looks = await self._look_all()
        state = ready_of(
            own=looks.get(self.bourse.params.replica), fresh=self.bourse.relay.fresh(now=self.bourse.runtime.now())
        )
        return web.json_response(state, status=200 if state["ready"] else 503)

    async def uptake(self, request: web.Request) -> web.Response:
        return web.json_response(
            {node: uptake._asdict() for node, uptake in sorted((await self.bourse.gather_uptakes()).items())}
        )

    async def counters(self, request: web.Request) -> web.Response:
        looks = await self._look_all()
        warehouses = [msgspec.json.decode(look.counters) for look in looks.values() if look is not None]
        return web.json_response({"bourse": self.bourse.counters.read(), "warehouses": warehouses})

    async def happenings(self, request: web.Request) -> web.Response:
        """The bourse's own changes of state, or a warehouse's beside it: the outside calls are taken here for both."""
        read = whole_number(request.query.get("after", "0"), field="after")
        asked = whole_number(request.query.get("warehouse", "0"), field="warehouse")
        for part in (read, asked):
            if isinstance(part, Failure):
                return refuse_call(part.failure())
        after, replica = read.unwrap(), asked.unwrap()
        if replica:
            look = (await self._look_all(after=after)).get(replica)
            return web.Response(
                body=b'{"newest": 0, "happenings": []}' if look is None else look.happenings,
                content_type="application/json",
            )
        return web.json_response(self.bourse.counters.happenings(after=after))

    # -- the core machines -------------------------------------------------------------------------------------------

    async def _look_all(self, *, after: int = 2**62) -> dict[int, LookAnswer | None]:
        warehouses = self.bourse.warehouses
        answers = await asyncio.gather(
            *(
                self.bourse.runtime.lines.call(address, LookCall(self.bourse.node, after), within=milliseconds(600))
                for address in warehouses.values()
            )
        )
        return {
            replica: answer.unwrap() if isinstance(answer, Success) else None
            for replica, answer in zip(warehouses, answers, strict=True)
        }

    async def core(self, request: web.Request) -> web.Response:
        machines = {}
        looks = await self._look_all()
        for replica, look in looks.items():
            machines[replica] = (
                {"standing": "unreachable"}
                if look is None
                else {
                    field: getattr(look, field)
                    for field in (
                        "mesh",
                        "incarnation",
                        "epoch",
                        "leader",
                        "standing",
                        "last_offset",
                        "high_watermark",
                        "begin_offset",
                    )
                }
            )
        answer: dict = {"machines": machines}
        # More loss than the deployment can stand is said aloud, with the way out.
        blank = [
            replica
            for replica, look in looks.items()
            if look is not None and look.standing in ("blank", "observer", "catching up")
        ]
        led = any(look is not None and look.standing == "leader" for look in looks.values())
        missing = [replica for replica, look in looks.items() if look is None]
        if not led and (len(blank) + len(missing)) * 2 > len(looks):
            answer["refused"] = Mishap(
                MishapKind.NO_LEADER,
                f"Replicas {sorted(blank + missing)} hold no voter's disk, so no majority is left.",
                "Bring back the machines with their disks; if the disks are lost for good, follow "
                "docs/operators/replacing-core-machines.md.",
                "core",
            ).describe()
        return web.json_response(answer)

    async def found(self, request: web.Request) -> web.Response:
        """Founding is explicit: all core machines must be reachable and blank, or hold this very founding."""
        if isinstance(read := await self._body(request, _Found), Failure):
            return refuse_call(read.failure())
        operators = read.unwrap().operators
        named = all(operator_name(name) and digest_like(digest) for name, digest in operators.items())
        if len(operators) < 2 or not named or len(set(operators.values())) < len(operators):
            return refuse_call(
                Mishap(
                    MishapKind.REQUEST_BROKEN,
                    "Founding needs at least two operators, each with a token digest of its own.",
                    "Give name = sha256 hex digest for each; an author and a signer must differ.",
                    "operators",
                )
            )
        looks = await self._look_all()
        missing = sorted(replica for replica, look in looks.items() if look is None)
        if missing:
            return refuse_call(
                Mishap(
                    MishapKind.UNREACHABLE,
                    f"Warehouses {missing} give no answer.",
                    "Start every core machine before founding.",
                    "core",
                )
            )
        meshes = {look.mesh for look in looks.values() if look.mesh}
        if meshes:
            return refuse_call(
                Mishap(
                    MishapKind.ALREADY_FOUNDED,
                    f"Mesh {sorted(meshes)} is founded on these machines.",
                    "Nothing to do; a blank machine among them rejoins by itself.",
                    "mesh",
                )
            )
        mesh = secrets.token_hex(6)
        # A new mesh begins at what all its core machines support: nothing older is there to be kept in step.
        level = min(self.bourse.level, *(look.level for look in looks.values()))
        voters = {replica: look.incarnation for replica, look in looks.items()}
        answers = await asyncio.gather(
            *(
                self.bourse.runtime.lines.call(
                    address, FoundCall(mesh, voters, operators, level), within=timedelta(seconds=5)
                )
                for address in self.bourse.warehouses.values()
            )
        )
        done = [
            answer
            for answer in answers
            if isinstance(answer, Success) and isinstance(answer.unwrap(), FoundAnswer) and not answer.unwrap().mishap
        ]
        if len(done) * 2 <= len(voters):
            return refuse_call(
                Mishap(
                    MishapKind.NOT_FOUNDED,
                    f"Only {len(done)} of {len(voters)} warehouses took the founding.",
                    "Wipe the data folders of those that did and found again.",
                    "core",
                )
            )
        return web.json_response({"mesh": mesh, "voters": voters})
