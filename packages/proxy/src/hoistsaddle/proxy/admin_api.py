"""What the HTTP APIs for operators and servers have in common in both programs: counters, events, budget, health."""

from datetime import timedelta
from typing import Any, Literal, TypeVar

import msgspec
from aiohttp import web
from returns.result import Failure, Result, Success

from hoistsaddle.common.counters import Counters
from hoistsaddle.common.errors import MeshError
from hoistsaddle.common.reading import plain_name, read_body, whole_number
from hoistsaddle.common.settings import check_address, split_address
from hoistsaddle.proxy.retry_budget import RetryBudget

READY_PATH = "/hoistsaddle/ready"
COUNTERS_PATH = "/hoistsaddle/counters"
EVENTS_PATH = "/hoistsaddle/happenings"
HOLDS_PATH = "/hoistsaddle/holds"
HEALTH_PATH = "/hoistsaddle/vitals"


class HealthReport(msgspec.Struct, frozen=True):
    """What a server reports of itself about once a second; what else it says is passed over."""

    service: str
    instance: str
    address: str
    state: Literal["ready", "winding down", "gone"]


Report = TypeVar("Report", bound=HealthReport)


def refuse(error: MeshError) -> web.Response:
    """Answer a call that can't be read."""
    return web.json_response({"refused": error.describe()}, status=400)


class CountersApi:
    """Answers operators' reads of counters and events."""

    def __init__(self, *, counters: Counters) -> None:
        self._counters = counters

    def add_routes(self, application: web.Application) -> None:
        """Serve the reads from this application."""
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
    """Return this proxy's quota of retries to each service, and what is available of it now."""
    return {
        name: {
            "part": account.cap.value + account.slots.value,
            "room": round(float(budget.available(name, now=now)), 2),
        }
        for name, account in sorted(budget.accounts.items())
    }


def read_health_report(body: bytes, kind: type[Report]) -> Result[Report, MeshError]:
    """Read what a server reports of itself."""
    match read_body(body, kind):
        case Failure(error):
            return Failure(error)
        case Success(report):
            pass
    wrong = check_address(field="address", address=report.address)
    for field in ("service", "instance"):
        wrong = wrong or plain_name(getattr(report, field), field=field).swap().value_or(None)
    return Success(report) if wrong is None else Failure(wrong)


async def open_application(application: web.Application, *, address: str, shutdown_timeout: timedelta) -> web.AppRunner:
    """Listen at this address; the runner closes it, and waits this long for handlers then."""
    runner = web.AppRunner(application, access_log=None, shutdown_timeout=shutdown_timeout.total_seconds())
    await runner.setup()
    host, port = split_address(address)
    await web.TCPSite(runner, host, port).start()
    return runner
