"""Converts the answers of simulated proxies to results in the history."""

import msgspec

from hoistsaddle.proxy.messages import ANSWERED, AnswerClient
from hoistsaddle.testbed.history import RequestResult, body_digest_of


def result_of(
    answer: AnswerClient, *, now: float, request: str, proxy: str, asked: float, caller: str = ""
) -> RequestResult:
    """Returns the result that the history records for a proxy's answer.

    Args:
        answer: the answer of the proxy.
        now: when the answer arrived.
        request: the nonce of the request.
        proxy: the proxy that received the request.
        asked: when the request was sent.
        caller: the service whose server sent the request; empty for a client.
    """
    has_body = answer.outcome == ANSWERED and answer.body
    content = msgspec.json.decode(answer.body) if has_body else {}
    return RequestResult(
        timestamp=now,
        request=request,
        outcome=answer.outcome,
        status=answer.status,
        nonce=content.get("nonce", ""),
        run=content.get("run", ""),
        repeat="X-Hoistsaddle-Repeat" in answer.headers,
        listener=proxy,
        kind=str(answer.error.kind) if answer.error else "",
        body_digest=body_digest_of(answer.body) if answer.outcome == ANSWERED else "",
        asked=asked,
        caller=caller,
        retry_after=answer.retry_after is not None,
    )
