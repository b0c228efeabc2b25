"""HTTP status codes of the platform's rules, as clients and operators of the emulator act on them."""

OK = 200
UNKNOWN_ROUTE = 404
CONFLICT = 409
# Answers by which a proxy promises that the request ran nowhere.
NOT_RUN = (408, 421, 429, 503)
# Answers after which an operator doesn't submit a change again.
FINAL_REFUSALS = (400, 409, 412, 413, 422)
# Client errors that say nothing about the change itself: time-out and rate limit.
RETRYABLE_CLIENT_ERRORS = (408, 429)


def is_success(status: int) -> bool:
    """Whether the request was carried out."""
    return 200 <= status < 300


def is_refusal(status: int) -> bool:
    """Whether a configuration change was rejected for what it says."""
    return 400 <= status < 500 and status not in RETRYABLE_CLIENT_ERRORS
