"""The state of one request at the ingress side of a proxy under bundles, until its final answer."""

from datetime import timedelta
from enum import Enum, auto

from hoistsaddle.common.errors import MeshError
from hoistsaddle.config.bundle import Route
from hoistsaddle.proxy.client_identity import ClientIdentity
from hoistsaddle.proxy.messages import RequestArrived
from hoistsaddle.statemachine.commands import ClaimKey

# The time limit of a request until its route, which sets the budget, is known.
DEFAULT_BUDGET = timedelta(seconds=5)
# The call number of a request that has made no call yet; call numbers begin at 1.
NO_CALL = 0


class Phase(Enum):
    """What a request waits for."""

    # A change at this proxy: a lease, a bundle, a server.
    WAITING = auto()
    # The log's answer to the claim of its key.
    CLAIMING = auto()
    # The answer to an attempt.
    FORWARDED = auto()


class ClientRequest:
    """A request and its progress."""

    def __init__(self, *, event: RequestArrived, arrived: timedelta) -> None:
        self.event = event
        self.ticket = event.ticket
        self.arrived = arrived
        self.deadline = arrived + DEFAULT_BUDGET
        self.phase = Phase.WAITING
        # The route by which it was last admitted.
        self.route: Route | None = None
        # Number of its newest call, to the log or to a target.
        self.call_number = NO_CALL
        # The key's scope and claim in the log, the client's identity, whether the key was granted, and when the log
        # first left the claim unanswered.
        self.scope = ""
        self.claim = ""
        self.identity: ClientIdentity | None = None
        self.claimed = False
        self.claim_unanswered_since: timedelta | None = None
        # The claim, if a call with it got no answer and the log may have accepted it.
        self.unconfirmed_claim: ClaimKey | None = None
        # The newest attempt: its id, the proxy and service it went to, and, of a retry, which part of the retry budget
        # was charged.
        self.attempt_id = ""
        self.target = ""
        self.target_service = ""
        self.charged_to = ""
        # The number of attempts sent, and the proxies that refused one.
        self.attempts = 0
        self.refused_by: set[str] = set()
        # Set once an attempt may have run without a known outcome.
        self.uncertain = False
        self.last_error: MeshError | None = None
        # Whether its first attempt has been credited to the retry budget.
        self.credited = False
        # The local revision when a target with another bundle last refused it, and the time of the first such refusal;
        # None without one.
        self.mismatch_revision: int | None = None
        self.mismatch_since: timedelta | None = None
