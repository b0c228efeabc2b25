"""Parts of the HTTP APIs for operators and servers that both programs share: counters, events, budgets, health."""

from datetime import timedelta
from typing import Any, Literal, TypeVar

import msgspec
from aiohttp import web
from returns.result import Failure, Result, Success

from hoistsaddle.common.counters import Counters
from hoistsaddle.common.errors import MeshError
from hoistsaddle.common.reading import plain_name, read_body, whole_number
from hoistsaddle.common.socket_addresses import check_address, split_address
from hoistsaddle.proxy.retry_budget import RetryBudget

READY_PATH = "/hoistsaddle/ready"
COUNTERS_PATH = "/hoistsaddle/counters"
EVENTS_PATH = "/hoistsaddle/happenings"
HOLDS_PATH = "/hoistsaddle/holds"
HEALTH_PATH = "/hoistsaddle/vitals"


class HealthReport(msgspec.Struct, frozen=True):
    """A server's health report, sent about once a second; unknown fields are ignored."""

    service: str
    instance: str
    address: str
    state: Literal["ready", "winding down", "gone"]


Report = TypeVar("Report", bound=HealthReport)


def refuse(error: MeshError) -> web.Response:
    """Return the response to an invalid call."""
    return web.json_response({"refused": error.describe()}, status=400)


class CountersApi:
    """Serves counters and events to operators."""

    def __init__(self, *, counters: Counters) -> None:
        self._counters = counters

    def add_routes(self, application: web.Application) -> None:
        """Add the routes to this application."""
        application.router.add_get(COUNTERS_PATH, self._read_counters)
        application.router.add_get(EVENTS_PATH, self._read_events)

    async def _read_counters(self, request: web.Request) -> web.Response:
        return web.json_response(self._counters.read())

    async def _read_events(self, request: web.Request) -> web.Response:
        match whole_number(request.query.get("after", "0"), field="after"):
            case Failure(error):
                return refuse(error)
            case Success(after):
                return web.json_response(self._counters.events(after=after))


def retry_budgets(budget: RetryBudget, *, now: timedelta) -> dict[str, dict[str, Any]]:
    """Return this proxy's retry quota of each service, and how much of it is available now."""
    return {
        name: {
            "part": account.cap.value + account.slots.value,
            "room": round(float(budget.available(name, now=now)), 2),
        }
        for name, account in sorted(budget.accounts.items())
    }


def read_health_report(body: bytes, kind: type[Report]) -> Result[Report, MeshError]:
    """Decode and check a server's health report."""
    match read_body(body, kind):
        case Failure(error):
            return Failure(error)
        case Success(report):
            pass
    invalid = check_address(field="address", address=report.address)
    for field in ("service", "instance"):
        invalid = invalid or plain_name(getattr(report, field), field=field).swap().value_or(None)
    return Success(report) if invalid is None else Failure(invalid)


async def open_application(application: web.Application, *, address: str, shutdown_timeout: timedelta) -> web.AppRunner:
    """Listen at this address; when the runner is cleaned up it waits this long for handlers."""
    runner = web.AppRunner(application, access_log=None, shutdown_timeout=shutdown_timeout.total_seconds())
    await runner.setup()
    host, port = split_address(address)
    await web.TCPSite(runner, host, port).start()
    return runner
