"""Case 7: a stopping sidecar exits while it is still sending answers, and cuts them off early in its grace period."""

import asyncio
import signal
import socket
from pathlib import Path

from review.stand_ins.case import Case, run, settle, start
from review.stand_ins.client import new_attempt
from review.stand_ins.deployment import BOUNDS, EGRESS, Machine, route
from review.stand_ins.http_messages import Message, encode, read_head
from review.stand_ins.server import Server

CUTOFF_SECONDS = 20.0
DEADLINE_SECONDS = 14.0
ANSWER_BYTES = 8_000_000
# What each client reads in a second: with four clients, 64 of the 1,000 Mbit/s of the machine's link.
CLIENT_RATE = 2_000_000
READ_BYTES = 65536
# The receive window of each client, in bytes.
WINDOW_BYTES = 65536
CLIENTS = 4


async def _answer_large(server: Server, request: Message, writer: asyncio.StreamWriter) -> bool:
    """Answer with the export; the routes of the warm-up have small answers."""
    body = b"x" * ANSWER_BYTES if "/export/" in request.first else None
    writer.write(server.answer(request, body))
    await writer.drain()
    return True


async def _export(case: Case, machine: Machine, begun: asyncio.Semaphore) -> tuple[int, bool]:
    """Request an export and read it at the client's rate; return the bytes read, and whether it was cut off."""
    attempt = new_attempt()
    fields = {
        "Host": "export.example",
        "Attempt-Id": attempt,
        "Deadline-Ms": str(int(DEADLINE_SECONDS * 1000)),
        "Operation-Key": f"key-{attempt}",
    }
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, (machine.host, EGRESS))
    reader, writer = await asyncio.open_connection(sock=sock, limit=READ_BYTES)
    writer.write(encode(f"POST /export/{attempt} HTTP/1.1", fields))
    sent_at, total = case.now(), 0
    case.add(f"client {machine.name}: {attempt} sent whole")
    try:
        first, headers = await read_head(reader)
        length = int(headers["content-length"])
        case.add(f"client {machine.name}: {attempt} got the head of the answer: {first}, {length} bytes")
        begun.release()
        while total < length:
            data = await reader.read(READ_BYTES)
            if not data:
                break
            total += len(data)
            await asyncio.sleep(len(data) / CLIENT_RATE)
        cut = total < length
    except (OSError, asyncio.IncompleteReadError):
        cut = True
    finally:
        writer.close()
    took = case.now() - sent_at
    case.add(f"client {machine.name}: {attempt} {'CUT OFF' if cut else 'whole'} after {total} bytes, {took:.2f} s")
    return total, cut and took < DEADLINE_SECONDS


async def play(case: Case) -> bool:
    """Return whether LOST (around a SIGTERM) was broken."""
    routes = [
        route("export", kind="keyed", service="ledger", cutoff=CUTOFF_SECONDS, target_s=2),
        route("look", kind="idempotent", service="ledger", cutoff=CUTOFF_SECONDS),
    ]
    deployment, servers = await start(
        case, sidecars=["ledger", "ledger", "ledger"], routes=routes, answerer=_answer_large
    )
    try:
        machine = deployment.sidecars[0]
        await settle(case, deployment.sidecars, "look")
        begun = asyncio.Semaphore(0)
        exports = [asyncio.ensure_future(_export(case, machine, begun)) for _ in range(CLIENTS)]
        for _ in range(CLIENTS):
            await asyncio.wait_for(begun.acquire(), 5)
        stopped_at = case.now()
        if case.trouble:
            machine.signal(signal.SIGTERM)
            ended = await machine.ended(within=BOUNDS["grace_s"])
            took = case.now() - stopped_at
            case.add(f"platform: {machine.name} {'ended by itself' if ended else 'still runs'} {took:.2f} s on")
        results = await asyncio.gather(*exports)
        cut = sum(cut for _, cut in results)
        case.add(f"case: of {CLIENTS} requests read whole and passed to a server, {cut} ended without a whole answer")
        return cut > 0
    finally:
        for server in servers:
            await server.end()
        deployment.close()


if __name__ == "__main__":
    run(play, folder=Path(__file__).parent)
