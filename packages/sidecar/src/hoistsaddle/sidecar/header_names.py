"""The names under which requests and servers speak of what the mesh needs to know. A platform has its own."""

from typing import NamedTuple


class HeaderNames(NamedTuple):
    """Names of headers, in any case."""

    # The id of one try, which an answer carries back.
    client_attempt_id: str = "X-Hoistsaddle-Send"
    # Milliseconds the caller will wait.
    budget: str = "X-Hoistsaddle-Budget"
    # The operation that runs once, whichever try brings it.
    key: str = "Idempotency-Key"
    # Set by the mesh: the service on the machine where the request began, and the server that is meant.
    caller: str = "X-Hoistsaddle-Caller"
    instance: str = "X-Hoistsaddle-Instance"
    # Set by a server that did not run the request.
    not_run: str = "X-Hoistsaddle-Not-Run"
