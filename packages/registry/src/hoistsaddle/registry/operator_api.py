"""The operators' door: HTTP/1.1 with JSON. Every refusal has a kind, the field and the remedy."""

import asyncio
import secrets
from datetime import timedelta
from typing import TYPE_CHECKING, Annotated

import msgspec
from aiohttp import web
from returns.result import Failure, Result, Success

from hoistsaddle.common.clock import milliseconds
from hoistsaddle.common.errors import ErrorKind, MeshError
from hoistsaddle.common.reading import plain_name, read_body, whole_number
from hoistsaddle.common.settings import split_address
from hoistsaddle.registry.operator_actions import OperatorActions
from hoistsaddle.rpc.messages import BootstrapAnswer, BootstrapCall, StatusAnswer, StatusCall
from hoistsaddle.statemachine.operators import is_digest, is_operator_name

if TYPE_CHECKING:
    from hoistsaddle.registry.service import Registry

MAX_SYNC_WAIT = timedelta(seconds=1)
_HTTP_STATUSES: dict[str, int] = {
    ErrorKind.OPERATOR_UNKNOWN: 401,
    ErrorKind.REQUEST_BROKEN: 400,
    ErrorKind.BUNDLE_BROKEN: 422,
    ErrorKind.ITEM_BROKEN: 422,
    ErrorKind.ITEM_CONFLICT: 409,
    # Neither taken nor refused.
    ErrorKind.ORDER_UNSURE: 503,
    ErrorKind.NO_LEADER: 503,
    ErrorKind.UNSURE: 503,
    ErrorKind.NOT_FOUNDED: 503,
    ErrorKind.UNREACHABLE: 503,
    ErrorKind.BUNDLE_UNKNOWN: 404,
    ErrorKind.NO_SERVER: 404,
    ErrorKind.RELEASE_LEVEL: 503,
}


def refuse_call(error: MeshError) -> web.Response:
    status = _HTTP_STATUSES.get(error.kind, 409)
    # Whoever is told to come back is told when.
    headers = {"Retry-After": "1"} if status == 503 else {}
    return web.json_response({"refused": error.describe()}, status=status, headers=headers)


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


def ready_of(*, own: StatusAnswer | None, fresh: bool) -> dict:
    """Whether a core machine does its whole part. Only then may the next one be stopped."""
    match own:
        case None:
            why = (ErrorKind.UNREACHABLE, "Its store gives no answer.", "Start it, or look at its log.")
        case StatusAnswer(halted=halted) if halted:
            why = (ErrorKind.OTHER_RELEASE, f"Its store has stopped: {halted}.", "Install the mesh's release.")
        case StatusAnswer(standing=standing) if standing not in ("leader", "follower"):
            why = (ErrorKind.UNSURE, f"Its store is {standing}.", "Wait: it catches up and then votes.")
        case StatusAnswer(leader=leader) if leader < 0:
            why = (ErrorKind.NO_LEADER, "Its store follows no leader.", "Wait, or see the core machines' page.")
        case StatusAnswer(unsynced=unsynced) if unsynced > MAX_SYNC_WAIT:
            why = (ErrorKind.DISK, f"Its disk has not synced for {unsynced.total_seconds():.1f} s.", "Free it.")
        case _ if not fresh:
            why = (ErrorKind.LEASE_LAPSED, "Its registry has no fresh news from a leader.", "Check the way to it.")
        case _:
            why = None
    state: dict = {"ready": why is None, "standing": "unreachable" if own is None else own.role}
    return state if why is None else {**state, "why": MeshError(*why).describe()}


class OperatorApi:
    def __init__(self, *, registry: "Registry") -> None:
        self.registry = registry
        self.desk = OperatorActions(registry=registry)
        self.runner: web.AppRunner | None = None

    async def start(self) -> None:
        application = web.Application(client_max_size=4 * 1024 * 1024, middlewares=[self._guard])
        application.add_routes(
            [
                web.post("/found", self.found),
                web.get("/core", self.core),
                web.get("/setup", self.setup),
                web.get("/uptake", self.applied_version),
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
                web.get("/happenings", self.events),
            ]
        )
        self.runner = web.AppRunner(application, access_log=None, shutdown_timeout=2)
        await self.runner.setup()
        host, port = split_address(self.registry.settings.operators)
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
                MeshError(
                    ErrorKind.REQUEST_BROKEN,
                    f"The request can't be read: {problem}.",
                    "Send what the operators' pages show.",
                    "body",
                )
            )
        except web.HTTPRequestEntityTooLarge:
            return refuse_call(
                MeshError(ErrorKind.REQUEST_BROKEN, "The body is too large.", "Keep a bundle under 4 MiB.", "body")
            )
        except web.HTTPException as problem:
            error = MeshError(
                ErrorKind.REQUEST_BROKEN,
                f"{request.method} {request.path}: {problem.reason}.",
                "docs/operators/api.md lists the calls.",
                "path",
            )
            return web.json_response({"refused": error.describe()}, status=problem.status)

    async def _as_operator(self, request: web.Request, work, *read: Result) -> web.Response:
        """Does an operator's work with what was read of the call, once all of it is right and it is known who asks."""
        # The caller's own id makes its repetition of a call recognisable; without one each call stands alone.
        given = plain_name(request.headers.get("X-Request-Id") or secrets.token_hex(12), field="X-Request-Id")
        for part in (given, *read):
            if isinstance(part, Failure):
                return refuse_call(part.failure())
        scheme, _, token = request.headers.get("Authorization", "").partition(" ")
        match await self.desk.operator_of(token if scheme == "Bearer" else ""):
            case Failure(error):
                return refuse_call(error)
            case Success(operator):
                pass
        match await work(operator, given.unwrap(), *(part.unwrap() for part in read)):
            case Failure(error):
                return refuse_call(error)
            case Success(answer):
                return web.json_response(answer, status=409 if "refused" in answer else 200)

    @staticmethod
    def _number(request: web.Request) -> Result[int, MeshError]:
        return whole_number(request.match_info["number"], field="number", least=1)

    @staticmethod
    def _name(request: web.Request, field: str) -> Result[str, MeshError]:
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
        match await self.registry.read_configuration():
            case Success(answer):
                setup = msgspec.json.decode(answer.content)
                for bundle in setup["bundles"]:
                    if bundle["number"] == number:
                        applied_versions = await self.registry.gather_applied_versions()
                        machines = {
                            node["node"]: self._machine(applied_versions.get(node["node"]), number)
                            for node in setup["nodes"]
                            if node["kind"] == "stall" and node["state"] != "gone"
                        }
                        return web.json_response({**bundle, "machines": machines})
                return refuse_call(
                    MeshError(ErrorKind.BUNDLE_UNKNOWN, f"There is no bundle {number}.", "Submit it first.", "number")
                )
            case Failure(error):
                return refuse_call(error)

    @staticmethod
    def _machine(applied_version, number: int) -> str:
        if applied_version is None:
            return "not heard"
        if applied_version.refused_bundle == number:
            return f"refused: {applied_version.refusal}"
        return "in force" if applied_version.bundle == number else f"on bundle {applied_version.bundle}"

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
            lambda operator, call, proxy, body: self.desk.drain(
                operator=operator, proxy=proxy, drain=body.drain, request=call
            ),
            self._name(request, "stall"),
            await self._body(request, _Drain),
        )

    # -- operators ---------------------------------------------------------------------------------------------------

    async def operators(self, request: web.Request) -> web.Response:
        return await self._show_report("changes")

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

    async def _show_report(self, part: str) -> web.Response:
        match await self.registry.read_configuration(part=part):
            case Success(answer):
                return web.Response(body=answer.content, content_type="application/json")
            case Failure(error):
                return refuse_call(error)

    async def setup(self, request: web.Request) -> web.Response:
        return await self._show_report("setup")

    async def holds(self, request: web.Request) -> web.Response:
        """The spans the log keeps: keys with the time left, leaving servers with when they get no more work."""
        return await self._show_report("holds")

    async def ready(self, request: web.Request) -> web.Response:
        """The platform's ready check of this core machine: both its programs do their part, or why not."""
        replica_statuses = await self._read_replica_statuses()
        state = ready_of(
            own=replica_statuses.get(self.registry.settings.replica),
            fresh=self.registry.relay.fresh(now=self.registry.runtime.now()),
        )
        return web.json_response(state, status=200 if state["ready"] else 503)

    async def applied_version(self, request: web.Request) -> web.Response:
        return web.json_response(
            {
                node: applied_version._asdict()
                for node, applied_version in sorted((await self.registry.gather_applied_versions()).items())
            }
        )

    async def counters(self, request: web.Request) -> web.Response:
        replica_statuses = await self._read_replica_statuses()
        stores = [
            msgspec.json.decode(replica_status.counters)
            for replica_status in replica_statuses.values()
            if replica_status is not None
        ]
        return web.json_response({"bourse": self.registry.counters.read(), "warehouses": stores})

    async def events(self, request: web.Request) -> web.Response:
        """The registry's own changes of state, or a store's beside it: the outside calls are taken here for both."""
        read = whole_number(request.query.get("after", "0"), field="after")
        asked = whole_number(request.query.get("warehouse", "0"), field="warehouse")
        for part in (read, asked):
            if isinstance(part, Failure):
                return refuse_call(part.failure())
        after, replica = read.unwrap(), asked.unwrap()
        if replica:
            replica_status = (await self._read_replica_statuses(after=after)).get(replica)
            return web.Response(
                body=b'{"newest": 0, "happenings": []}' if replica_status is None else replica_status.events,
                content_type="application/json",
            )
        return web.json_response(self.registry.counters.events(after=after))

    # -- the core machines -------------------------------------------------------------------------------------------

    async def _read_replica_statuses(self, *, after: int = 2**62) -> dict[int, StatusAnswer | None]:
        stores = self.registry.stores
        answers = await asyncio.gather(
            *(
                self.registry.runtime.rpc_client.call(
                    address, StatusCall(self.registry.node, after), within=milliseconds(600)
                )
                for address in stores.values()
            )
        )
        return {
            replica: answer.unwrap() if isinstance(answer, Success) else None
            for replica, answer in zip(stores, answers, strict=True)
        }

    async def core(self, request: web.Request) -> web.Response:
        machines = {}
        replica_statuses = await self._read_replica_statuses()
        for replica, replica_status in replica_statuses.items():
            machines[replica] = (
                {"standing": "unreachable"}
                if replica_status is None
                else {
                    "mesh": replica_status.mesh,
                    "incarnation": replica_status.incarnation,
                    "epoch": replica_status.epoch,
                    "leader": replica_status.leader,
                    "standing": replica_status.role,
                    "last_offset": replica_status.last_offset,
                    "high_watermark": replica_status.high_watermark,
                    "begin_offset": replica_status.begin_offset,
                }
            )
        answer: dict = {"machines": machines}
        # More loss than the deployment can stand is said aloud, with the way out.
        blank = [
            replica
            for replica, replica_status in replica_statuses.items()
            if replica_status is not None and replica_status.role in ("blank", "observer", "catching up")
        ]
        has_leader = any(
            replica_status is not None and replica_status.role == "leader"
            for replica_status in replica_statuses.values()
        )
        missing = [replica for replica, replica_status in replica_statuses.items() if replica_status is None]
        if not has_leader and (len(blank) + len(missing)) * 2 > len(replica_statuses):
            answer["refused"] = MeshError(
                ErrorKind.NO_LEADER,
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
        named = all(is_operator_name(name) and is_digest(digest) for name, digest in operators.items())
        if len(operators) < 2 or not named or len(set(operators.values())) < len(operators):
            return refuse_call(
                MeshError(
                    ErrorKind.REQUEST_BROKEN,
                    "Founding needs at least two operators, each with a token digest of its own.",
                    "Give name = sha256 hex digest for each; an author and a signer must differ.",
                    "operators",
                )
            )
        replica_statuses = await self._read_replica_statuses()
        missing = sorted(replica for replica, replica_status in replica_statuses.items() if replica_status is None)
        if missing:
            return refuse_call(
                MeshError(
                    ErrorKind.UNREACHABLE,
                    f"Stores {missing} give no answer.",
                    "Start every core machine before founding.",
                    "core",
                )
            )
        meshes = {replica_status.mesh for replica_status in replica_statuses.values() if replica_status.mesh}
        if meshes:
            return refuse_call(
                MeshError(
                    ErrorKind.ALREADY_FOUNDED,
                    f"Mesh {sorted(meshes)} is founded on these machines.",
                    "Nothing to do; a blank machine among them rejoins by itself.",
                    "mesh",
                )
            )
        mesh = secrets.token_hex(6)
        # A new mesh begins at what all its core machines support: nothing older is there to be kept in step.
        level = min(self.registry.level, *(replica_status.level for replica_status in replica_statuses.values()))
        voters = {replica: replica_status.incarnation for replica, replica_status in replica_statuses.items()}
        answers = await asyncio.gather(
            *(
                self.registry.runtime.rpc_client.call(
                    address, BootstrapCall(mesh, voters, operators, level), within=timedelta(seconds=5)
                )
                for address in self.registry.stores.values()
            )
        )
        done = [
            answer
            for answer in answers
            if isinstance(answer, Success)
            and isinstance(answer.unwrap(), BootstrapAnswer)
            and not answer.unwrap().error
        ]
        if len(done) * 2 <= len(voters):
            return refuse_call(
                MeshError(
                    ErrorKind.NOT_FOUNDED,
                    f"Only {len(done)} of {len(voters)} stores took the founding.",
                    "Wipe the data folders of those that did and found again.",
                    "core",
                )
            )
        return web.json_response({"mesh": mesh, "voters": voters})
