"""How the end of a server's answer body is determined, according to RFC 9112 section 6.3."""

from enum import StrEnum

# Statuses of answers that have no body, regardless of their headers.
BODILESS_STATUSES = frozenset({204, 304})


class AnswerFraming(StrEnum):
    """What determines where an answer's body ends."""

    BODILESS = "bodiless"
    CHUNKED = "chunked"
    LENGTH = "length"
    # The end of the connection. A server that aborts looks the same, even before the body begins.
    CONNECTION_END = "connection_end"


def framing_of(*, status: int, chunked: bool, length: str | None, with_body: bool) -> AnswerFraming:
    """Return how an answer's body is framed.

    Args:
        status: status of the answer.
        chunked: whether its transfer coding is chunked.
        length: its Content-Length, if it has one.
        with_body: False if its request allows no body in the answer.
    """
    if not with_body or status in BODILESS_STATUSES:
        return AnswerFraming.BODILESS
    if chunked:
        return AnswerFraming.CHUNKED
    return AnswerFraming.CONNECTION_END if length is None else AnswerFraming.LENGTH
