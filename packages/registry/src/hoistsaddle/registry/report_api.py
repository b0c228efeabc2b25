"""The read-only calls of the operators' interface, the same for bundles and for items."""

import msgspec
from aiohttp import web
from returns.result import Failure, Success

from hoistsaddle.common.reading import whole_number
from hoistsaddle.registry.core_status import describe_core, describe_readiness
from hoistsaddle.registry.http_server import UNAVAILABLE, refuse_call
from hoistsaddle.registry.node import Registry

OK = 200
JSON = "application/json"
NO_EVENTS_KNOWN = b'{"newest": 0, "happenings": []}'


class ReportApi:
    """HTTP handlers that report the state of a registry and of the core machines; they change nothing."""

    def __init__(self, *, registry: Registry) -> None:
        """Reports the state that this registry can read."""
        self.registry = registry

    def routes(self) -> list[web.RouteDef]:
        """The calls by their documented paths."""
        return [
            web.get("/core", self.core),
            web.get("/holds", self.holds),
            web.get("/ready", self.ready),
            web.get("/uptake", self.applied_versions),
            web.get("/counters", self.counters),
            web.get("/happenings", self.events),
        ]

    async def show(self, part: str) -> web.Response:
        """One part of the state as the leader's store encodes it."""
        match await self.registry.read_configuration(part=part):
            case Success(answer):
                return web.Response(body=answer.content, content_type=JSON)
            case Failure(error):
                return refuse_call(error)

    async def core(self, request: web.Request) -> web.Response:
        """The core machines and their leader."""
        return web.json_response(describe_core(await self.registry.store_statuses()))

    async def holds(self, request: web.Request) -> web.Response:
        """The leases in the log: keys with their remaining time, and leaving servers with the end of their new work."""
        return await self.show("holds")

    async def ready(self, request: web.Request) -> web.Response:
        """The platform's readiness check of this core machine: whether its store and registry work, or why not."""
        statuses = await self.registry.store_statuses()
        state = describe_readiness(
            own=statuses.get(self.registry.settings.replica),
            fresh=self.registry.relay.fresh(now=self.registry.runtime.now()),
        )
        return web.json_response(state, status=OK if state["ready"] else UNAVAILABLE)

    async def applied_versions(self, request: web.Request) -> web.Response:
        """Each proxy's newest report of what it has applied."""
        reports = await self.registry.applied_versions.gather()
        return web.json_response({node: report._asdict() for node, report in sorted(reports.items())})

    async def counters(self, request: web.Request) -> web.Response:
        """The counters of this registry and of every store."""
        statuses = await self.registry.store_statuses()
        stores = [msgspec.json.decode(status.counters) for status in statuses.values() if status is not None]
        return web.json_response({"bourse": self.registry.counters.read(), "warehouses": stores})

    async def events(self, request: web.Request) -> web.Response:
        """The registry's own events, or those of the store with the given replica number."""
        read_after = whole_number(request.query.get("after", "0"), field="after")
        read_replica = whole_number(request.query.get("warehouse", "0"), field="warehouse")
        for read in (read_after, read_replica):
            if isinstance(read, Failure):
                return refuse_call(read.failure())
        after, replica = read_after.unwrap(), read_replica.unwrap()
        if not replica:
            return web.json_response(self.registry.counters.events(after=after))
        status = (await self.registry.store_statuses(after_event=after)).get(replica)
        return web.Response(body=NO_EVENTS_KNOWN if status is None else status.events, content_type=JSON)
