"""HTTP status codes of the platform's rules, as the emulator's clients and operators interpret them."""

OK = 200
UNKNOWN_ROUTE = 404
CONFLICT = 409
# Statuses by which a proxy guarantees that the request did not run.
NOT_RUN = (408, 421, 429, 503)
# Statuses after which an operator doesn't submit a change again.
FINAL_REJECTIONS = (400, 409, 412, 413, 422)
# Client errors that don't depend on the change itself: timeout and rate limit.
RETRYABLE_CLIENT_ERRORS = (408, 429)


def is_success(status: int) -> bool:
    """Whether the request succeeded."""
    return 200 <= status < 300


def is_rejection(status: int) -> bool:
    """Whether a configuration change was rejected because of its content."""
    return 400 <= status < 500 and status not in RETRYABLE_CLIENT_ERRORS
