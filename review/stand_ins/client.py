"""Clients: requests at a machine's egress, and what became of them."""

import itertools
import secrets
from typing import NamedTuple

from review.stand_ins.deployment import Machine
from review.stand_ins.http_messages import Message, call
from review.stand_ins.record import Record

_numbers = itertools.count(1)


class Sent(NamedTuple):
    """A try and its answer; None if the connection ended, or the deadline passed, without a complete one."""

    attempt: str
    key: str
    at: float
    ended: float
    answer: Message | None

    @property
    def status(self) -> int:
        """The status of the answer; 0 without one."""
        return 0 if self.answer is None else self.answer.status


def new_attempt() -> str:
    """Return the id of a new try."""
    return f"{next(_numbers):06d}{secrets.token_hex(5)}"


async def send(
    record: Record,
    machine: Machine,
    route: str,
    *,
    method: str = "GET",
    key: str = "",
    body: bytes = b"",
    deadline: float = 4.0,
    more: dict[str, str] | None = None,
) -> Sent:
    """Send one try on a new connection and wait for its answer until its deadline.

    Args:
        record: The record of the case.
        machine: The machine at whose egress the client is.
        route: The name of the route, whose host is ROUTE.example and whose prefix is /ROUTE/.
        method: The method.
        key: The Operation-Key; empty for none.
        body: The body.
        deadline: The Deadline-Ms, in seconds.
        more: Further headers.
    """
    attempt, at = new_attempt(), record.now()
    headers = {"Host": f"{route}.example", "Attempt-Id": attempt, "Deadline-Ms": str(int(deadline * 1000))}
    if key:
        headers["Operation-Key"] = key
    headers |= more or {}
    record.add(f"client {machine.name}: sends {attempt} {method} /{route}/ {key}")
    answer = await call(
        machine.egress, method, f"/{route}/{attempt}", headers=headers, body=body, within=deadline + 0.3
    )
    sent = Sent(attempt, key, at, record.now(), answer)
    record.add(f"client {machine.name}: {attempt} got {sent.status or 'no complete answer'}")
    return sent
