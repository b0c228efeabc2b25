"""The operators' HTTP interface for bundles: JSON over HTTP/1.1; every error has a kind, a field and a remedy."""

import secrets
from collections.abc import Awaitable, Callable
from typing import Annotated

import msgspec
from aiohttp import web
from returns.result import Failure, Result, Success

from hoistsaddle.common.errors import BundleUnknown, MeshError
from hoistsaddle.common.reading import plain_name, read_body, whole_number
from hoistsaddle.common.socket_addresses import split_address
from hoistsaddle.registry.founding import found_mesh
from hoistsaddle.registry.http_server import CONFLICT, HttpListener, answer_or_refuse, refuse_call
from hoistsaddle.registry.node import PROXY_KIND, Registry
from hoistsaddle.registry.operator_actions import OperatorActions
from hoistsaddle.registry.report_api import OK, ReportApi
from hoistsaddle.rpc.messages import AppliedVersion
from hoistsaddle.statemachine.state import GONE

MAX_BODY_BYTES = 4 * 1024 * 1024
REQUEST_ID_BYTES = 12
MAX_STAGE = 10000
REQUEST_ID_HEADER = "X-Request-Id"


class SignBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The body of a sign-off: the digest of the text that the signer has read."""

    digest: str


class AdvanceBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The body of an advance: the current stage of the bundle, so that a repeated call advances it only once."""

    from_stage: Annotated[int, msgspec.Meta(ge=0, le=MAX_STAGE)]


class DrainBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The body of a drain: whether the mark is set or removed."""

    drain: bool = True


class TokenDigestBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The body of a change of an operator: the hexadecimal SHA-256 digest of the new token."""

    digest: Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{64}$")]


class SignChangeBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The body of a second operator's signature: the id of the change that the signer has read."""

    change: str


class FoundBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The body of a founding: the digest of each initial operator's token by name."""

    operators: dict[str, str]


def _read_number(request: web.Request) -> Result[int, MeshError]:
    return whole_number(request.match_info["number"], field="number", least=1)


def _read_name(request: web.Request, field: str) -> Result[str, MeshError]:
    return plain_name(request.match_info[field], field=field)


def _machine_state(report: AppliedVersion | None, number: int) -> str:
    """The state of a bundle at a proxy, in the terms of the HTTP interface."""
    if report is None:
        return "not heard"
    if report.refused_bundle == number:
        return f"refused: {report.refusal}"
    return "in force" if report.bundle == number else f"on bundle {report.bundle}"


class OperatorApi:
    """HTTP handlers for operators of a mesh whose configuration is a signed bundle."""

    def __init__(self, *, registry: Registry) -> None:
        """Serves the operators' address of this registry."""
        self.registry = registry
        self.actions = OperatorActions(registry=registry)
        self.reports = ReportApi(registry=registry)
        self.listener = HttpListener(routes=self.routes(), max_body_bytes=MAX_BODY_BYTES)

    def routes(self) -> list[web.RouteDef]:
        """The calls by their documented paths."""
        return [
            web.post("/found", self.found),
            web.get("/setup", self.configuration),
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
            *self.reports.routes(),
        ]

    async def start(self) -> None:
        """Opens the operators' address."""
        host, port = split_address(self.registry.settings.operators)
        await self.listener.start(host=host, port=port)

    async def stop(self) -> None:
        """Closes the operators' address."""
        await self.listener.stop()

    async def _as_operator(
        self, request: web.Request, action: Callable[..., Awaitable[Result[dict, MeshError]]], *parsed: Result
    ) -> web.Response:
        """Carries out an operator's call once all its parts are valid and the operator is authenticated.

        Args:
            request: The HTTP request.
            action: Receives the operator's name, the id of the call and the parsed parts.
            parsed: The parsed parts of the call, or their errors.
        """
        # An id call_id by the caller makes repeats of a call recognisable; without one every call is a new one.
        request_id = request.headers.get(REQUEST_ID_HEADER) or secrets.token_hex(REQUEST_ID_BYTES)
        call_id = plain_name(request_id, field=REQUEST_ID_HEADER)
        for part in (call_id, *parsed):
            if isinstance(part, Failure):
                return refuse_call(part.failure())
        scheme, _, token = request.headers.get("Authorization", "").partition(" ")
        match await self.actions.operator_of(token if scheme == "Bearer" else ""):
            case Failure(error):
                return refuse_call(error)
            case Success(operator):
                pass
        match await action(operator, call_id.unwrap(), *(part.unwrap() for part in parsed)):
            case Failure(error):
                return refuse_call(error)
            case Success(answer):
                return web.json_response(answer, status=CONFLICT if "refused" in answer else OK)

    # -- the mesh ----------------------------------------------------------------------------------------------------

    async def found(self, request: web.Request) -> web.Response:
        """Founds the mesh; fails if it is founded already."""
        match read_body(await request.read(), FoundBody):
            case Failure(error):
                return refuse_call(error)
            case Success(body):
                return answer_or_refuse(await found_mesh(self.registry, body.operators))

    async def configuration(self, request: web.Request) -> web.Response:
        """The complete configuration."""
        return await self.reports.show("setup")

    # -- bundles -----------------------------------------------------------------------------------------------------

    async def submit(self, request: web.Request) -> web.Response:
        """Submits a bundle as a draft."""
        text = (await request.read()).decode()
        return await self._as_operator(
            request, lambda operator, call_id: self.actions.submit(author=operator, text=text, request=call_id)
        )

    async def show(self, request: web.Request) -> web.Response:
        """A bundle and its state at each proxy."""
        if isinstance(read := _read_number(request), Failure):
            return refuse_call(read.failure())
        number = read.unwrap()
        match await self.registry.read_configuration():
            case Failure(error):
                return refuse_call(error)
            case Success(answer):
                configuration = msgspec.json.decode(answer.content)
        bundle = next((each for each in configuration["bundles"] if each["number"] == number), None)
        if bundle is None:
            return refuse_call(BundleUnknown(f"There is no bundle {number}.", field="number"))
        reports = await self.registry.applied_versions.gather()
        machines = {
            node["node"]: _machine_state(reports.get(node["node"]), number)
            for node in configuration["nodes"]
            if node["kind"] == PROXY_KIND and node["state"] != GONE
        }
        return web.json_response({**bundle, "machines": machines})

    async def sign(self, request: web.Request) -> web.Response:
        """Signs off a draft, as a second operator."""
        return await self._as_operator(
            request,
            lambda operator, call_id, number, body: self.actions.sign(
                operator=operator, number=number, digest=body.digest, request=call_id
            ),
            _read_number(request),
            read_body(await request.read(), SignBody),
        )

    async def advance(self, request: web.Request) -> web.Response:
        """Moves a bundle that is rolling out to its next stage."""
        return await self._as_operator(
            request,
            lambda operator, call_id, number, body: self.actions.advance(
                operator=operator, number=number, from_stage=body.from_stage, request=call_id
            ),
            _read_number(request),
            read_body(await request.read(), AdvanceBody),
        )

    async def abort(self, request: web.Request) -> web.Response:
        """Withdraws a draft, or a bundle that is rolling out."""
        return await self._as_operator(
            request,
            lambda operator, call_id, number: self.actions.abort(operator=operator, number=number, request=call_id),
            _read_number(request),
        )

    async def drain(self, request: web.Request) -> web.Response:
        """Marks the server of a proxy as draining, or removes the mark."""
        return await self._as_operator(
            request,
            lambda operator, call_id, proxy, body: self.actions.drain(
                operator=operator, proxy=proxy, drain=body.drain, request=call_id
            ),
            _read_name(request, "stall"),
            read_body(await request.read(), DrainBody),
        )

    # -- operators ---------------------------------------------------------------------------------------------------

    async def operators(self, request: web.Request) -> web.Response:
        """The operators, and the proposed changes that wait for a second operator."""
        return await self.reports.show("changes")

    async def change_operator(self, request: web.Request) -> web.Response:
        """Proposes a new operator, or a new token for an existing one."""
        return await self._as_operator(
            request,
            lambda operator, call_id, name, body: self.actions.change_operator(
                operator=operator, name=name, digest=body.digest, request=call_id
            ),
            _read_name(request, "name"),
            read_body(await request.read(), TokenDigestBody),
        )

    async def remove_operator(self, request: web.Request) -> web.Response:
        """Proposes to remove an operator."""
        return await self._as_operator(
            request,
            lambda operator, call_id, name: self.actions.change_operator(
                operator=operator, name=name, digest="", request=call_id
            ),
            _read_name(request, "name"),
        )

    async def sign_operator(self, request: web.Request) -> web.Response:
        """Signs a proposed change, as a second operator."""
        return await self._as_operator(
            request,
            lambda operator, call_id, name, body: self.actions.sign_operator(
                operator=operator, name=name, change=body.change, request=call_id
            ),
            _read_name(request, "name"),
            read_body(await request.read(), SignChangeBody),
        )

    async def drop_operator(self, request: web.Request) -> web.Response:
        """Withdraws a proposed change."""
        return await self._as_operator(
            request,
            lambda operator, call_id, name: self.actions.drop_operator(operator=operator, name=name, request=call_id),
            _read_name(request, "name"),
        )
