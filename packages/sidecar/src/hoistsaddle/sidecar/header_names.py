"""Names of the headers with which clients, servers and the mesh describe attempts. A platform may have its own."""

from typing import NamedTuple


class HeaderNames(NamedTuple):
    """Header names; case is not significant."""

    # The client's id of one attempt, which the response must repeat.
    client_attempt_id: str = "X-Hoistsaddle-Send"
    # The time in milliseconds for which the caller waits.
    budget: str = "X-Hoistsaddle-Budget"
    # Identifies an operation that runs only once, however many attempts carry the key.
    key: str = "Idempotency-Key"
    # Set by the mesh: the service on the machine where the request entered it, and the target server instance.
    caller: str = "X-Hoistsaddle-Caller"
    instance: str = "X-Hoistsaddle-Instance"
    # Set by a server that did not run the request.
    not_run: str = "X-Hoistsaddle-Not-Run"
