"""What a sidecar knows of each request that came in at its own handler, and what the parts that work on one share."""

from datetime import timedelta

from hoistsaddle.common.errors import MeshError
from hoistsaddle.config.items import RouteItem
from hoistsaddle.proxy.core_state import CoreState
from hoistsaddle.rpc.messages import ForwardAnswer
from hoistsaddle.sidecar.messages import RequestArrived
from hoistsaddle.statemachine.state import ServerRecord

# What a request gets whose client names no time.
DEFAULT_BUDGET = timedelta(seconds=30)


class PendingRequest:
    """One request of a client, from its arrival to its final answer."""

    def __init__(self, *, event: RequestArrived, now: timedelta) -> None:
        self.event = event
        self.arrived = now
        # What lay unread while this process stood still has less left than it says.
        self.deadline = now + (DEFAULT_BUDGET if event.budget is None else event.budget) - event.unread
        self.aim_at = self.deadline
        self.entry: RouteItem | None = None
        self.service = ""
        self.asked = 0
        self.avoid: set[str] = set()
        # Attempts that may have reached a server.
        self.sends = 0
        self.uncertain = False
        self.why: MeshError | None = None
        self.best: ForwardAnswer | None = None
        self.number: int | None = None
        self.target: ServerRecord | None = None
        self.way = ""
        # The newest attempt: its id, the sidecar's life and address that it went to, and how often it was asked for.
        self.send = ""
        self.life = ""
        self.address = ""
        self.follows = 0
        self.counted = False
        self.scope = ""
        self.claim = ""
        self.claimed = False
        self.after = ""
        self.recalled = ""


class RequestTable(CoreState):
    """What the keys, the selection and the entry work on together."""

    def __init__(self, **needs) -> None:
        super().__init__(**needs)
        # By ticket of the handler.
        self.pending_requests: dict[int, PendingRequest] = {}
        # Claims and attempts under way, by their number, to their request's ticket.
        self.by_number: dict[int, int] = {}

    def _place(self, ticket: int) -> None:
        """Sends the request to the best server's sidecar, or gives its final answer."""
        raise NotImplementedError

    def _turned_back(self, ticket: int, error: MeshError) -> None:
        """Nothing ran and nothing will: said at once, with when to come back."""
        raise NotImplementedError

    def _soon(self, request: PendingRequest) -> timedelta:
        """When a client that is sent away shall come back."""
        raise NotImplementedError

    def _reply(
        self,
        ticket: int,
        status: int,
        *,
        headers: bytes = b"",
        body: bytes = b"",
        error: MeshError | None = None,
        retry_after: timedelta | None = None,
    ) -> None:
        """The final answer: the request is forgotten."""
        raise NotImplementedError
