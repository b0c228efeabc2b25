"""One request that came in at a proxy under bundles, until its final answer."""

from datetime import timedelta
from enum import Enum, auto

from hoistsaddle.common.errors import MeshError
from hoistsaddle.config.bundle import Route
from hoistsaddle.proxy.client_identity import ClientIdentity
from hoistsaddle.proxy.messages import RequestArrived
from hoistsaddle.statemachine.commands import ClaimKey

# The time of a request until its route is known.
DEFAULT_BUDGET = timedelta(seconds=5)
# Of a request without a call so far; numbers of calls begin at 1.
NO_CALL = 0


class Phase(Enum):
    """What a request waits for."""

    # For something to change here: a lease, a bundle, a server.
    WAITING = auto()
    # For the log to grant its key.
    CLAIMING = auto()
    # For the answer to an attempt.
    FORWARDED = auto()


class ClientRequest:
    """A request and how far it has come."""

    def __init__(self, *, event: RequestArrived, arrived: timedelta) -> None:
        self.event = event
        self.ticket = event.ticket
        self.arrived = arrived
        self.deadline = arrived + DEFAULT_BUDGET
        self.phase = Phase.WAITING
        # The route that it was admitted by last.
        self.route: Route | None = None
        # The newest call about it, to the log or to a target.
        self.call_number = NO_CALL
        # The key's claim in the log, by whom, whether it was granted, and when the log first gave no answer to it.
        self.scope = ""
        self.claim = ""
        self.identity: ClientIdentity | None = None
        self.claimed = False
        self.claim_missed_at: timedelta | None = None
        # The claim, if a call with it got no answer though the log may have taken it.
        self.unsure_claim: ClaimKey | None = None
        # The newest attempt: its id, the proxy and service it went to, and what paid for it if it is a retry.
        self.attempt_id = ""
        self.target = ""
        self.target_service = ""
        self.paid_by = ""
        # Attempts that were sent, and the proxies that refused one.
        self.attempts = 0
        self.refused_by: set[str] = set()
        # Set once an attempt may have run and nobody can say.
        self.uncertain = False
        self.last_error: MeshError | None = None
        # Whether its first attempt has earned its share of a retry.
        self.counted = False
        # The revision here, and when, as a target whose bundle is newer judged it otherwise; None while none did.
        self.judged_under: int | None = None
        self.judged_at: timedelta | None = None
