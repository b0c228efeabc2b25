"""Case 6: a body in chunks whose last line end is split between two segments is never read to its end."""

import asyncio
from pathlib import Path

from review.stand_ins.case import Case, run, settle, start
from review.stand_ins.client import new_attempt, send
from review.stand_ins.deployment import EGRESS, Machine, route
from review.stand_ins.http_messages import read_message

CUTOFF_SECONDS = 2.0
DEADLINE_SECONDS = 4.0
# The rule gives half a second past the cut-off.
SLACK_SECONDS = 0.5
UPLOADS = 12
# The client's pause between two segments; idle_s allows 15 seconds.
PAUSE_SECONDS = 0.25
LAST_CHUNK = b"0\r\n\r\n"
BODY = b"a card of the deck\r\n" * 50
CHUNK_BYTES = 250


def _in_chunks(body: bytes) -> bytes:
    chunks = [body[first : first + CHUNK_BYTES] for first in range(0, len(body), CHUNK_BYTES)]
    return b"".join(b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks) + LAST_CHUNK


async def _upload(case: Case, machine: Machine) -> float | None:
    """Send one upload; return the seconds until its answer, or None if there is none by its deadline."""
    attempt = new_attempt()
    head = (
        f"POST /deck/{attempt} HTTP/1.1\r\nHost: deck.example\r\nAttempt-Id: {attempt}\r\n"
        f"Deadline-Ms: {int(DEADLINE_SECONDS * 1000)}\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    data = head.encode() + _in_chunks(BODY)
    reader, writer = await asyncio.open_connection(machine.host, EGRESS)
    try:
        # The same pause, within the last line end or before the last chunk.
        split = len(data) - (1 if case.trouble else len(LAST_CHUNK))
        writer.write(data[:split])
        await asyncio.sleep(PAUSE_SECONDS)
        writer.write(data[split:])
        sent_at = case.now()
        case.add(f"client {machine.name}: {attempt} sent whole, {len(data)} bytes")
        async with asyncio.timeout(DEADLINE_SECONDS):
            answer = await read_message(reader)
        case.add(f"client {machine.name}: {attempt} got {answer.status} after {case.now() - sent_at:.3f} s")
        return case.now() - sent_at
    except (TimeoutError, OSError, asyncio.IncompleteReadError) as problem:
        case.add(f"client {machine.name}: {attempt} got no answer by its deadline ({type(problem).__name__})")
        return None
    finally:
        writer.transport.abort()


def _processor_seconds(machine: Machine) -> float:
    assert machine.process is not None
    fields = Path(f"/proc/{machine.process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / 100


async def play(case: Case) -> bool:
    """Return whether CONFIG (requests past their route's cutoff_s) was broken."""
    routes = [
        route("deck", kind="upload", service="deckstore", cutoff=CUTOFF_SECONDS),
        route("look", kind="idempotent", service="deckstore", cutoff=CUTOFF_SECONDS),
    ]
    deployment, servers = await start(case, sidecars=["deckstore", "deckstore"], routes=routes)
    try:
        machine = deployment.sidecars[0]
        await settle(case, deployment.sidecars, "look")
        answered = await asyncio.gather(*(_upload(case, machine) for _ in range(UPLOADS)))
        at_cutoff = [each for each in answered if each is None or each > CUTOFF_SECONDS]
        late = [each for each in at_cutoff if each is None or each > CUTOFF_SECONDS + SLACK_SECONDS]
        ordinary = await send(case, machine, "look")
        before, began = _processor_seconds(machine), case.now()
        await asyncio.sleep(3)
        used = (_processor_seconds(machine) - before) / (case.now() - began)
        case.add(f"case: all clients have gone; {machine.name} uses {used:.0%} of a core for 3 s")
        case.add(f"case: an ordinary request at {machine.name} got {ordinary.status}")
        case.add(
            f"case: of {UPLOADS} uploads sent whole, {len(at_cutoff)} unanswered at cutoff_s, {len(late)} 0.5 s on"
        )
        return len(late) >= 8 and len(late) * 2 > len(at_cutoff) and len(late) * 4 > UPLOADS
    finally:
        for server in servers:
            await server.end()
        deployment.close()


if __name__ == "__main__":
    run(play, folder=Path(__file__).parent)
