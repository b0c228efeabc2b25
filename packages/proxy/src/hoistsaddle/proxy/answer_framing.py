"""How a server's answer says where its body ends, as RFC 9112 section 6.3 has it."""

from enum import StrEnum

# Statuses of answers that have no body, whatever their headers say.
BODILESS_STATUSES = frozenset({204, 304})


class AnswerFraming(StrEnum):
    """What tells where an answer's body ends."""

    BODILESS = "bodiless"
    CHUNKED = "chunked"
    LENGTH = "length"
    # Wherever the connection ends: a server that broke off looks the same, also before its body began.
    CONNECTION_END = "connection_end"


def framing_of(*, status: int, chunked: bool, length: str | None, with_body: bool) -> AnswerFraming:
    """Return how an answer's body is framed.

    Args:
        status: of the answer.
        chunked: whether it comes in chunks.
        length: its Content-Length, if it has one.
        with_body: False where its request allows no body.
    """
    if not with_body or status in BODILESS_STATUSES:
        return AnswerFraming.BODILESS
    if chunked:
        return AnswerFraming.CHUNKED
    return AnswerFraming.CONNECTION_END if length is None else AnswerFraming.LENGTH
