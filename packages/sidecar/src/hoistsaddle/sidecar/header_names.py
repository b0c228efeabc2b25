"""Names of the headers by which clients, servers and the mesh tell each other of attempts. A platform has its own."""

from typing import NamedTuple


class HeaderNames(NamedTuple):
    """Names of headers, in any case."""

    # The client's id of one attempt, which an answer carries back.
    client_attempt_id: str = "X-Hoistsaddle-Send"
    # Milliseconds that the caller will wait.
    budget: str = "X-Hoistsaddle-Budget"
    # The operation that runs once, whichever attempt brings it.
    key: str = "Idempotency-Key"
    # Set by the mesh: the service on the machine where the request began, and the server that is meant.
    caller: str = "X-Hoistsaddle-Caller"
    instance: str = "X-Hoistsaddle-Instance"
    # Set by a server that did not run the request.
    not_run: str = "X-Hoistsaddle-Not-Run"
