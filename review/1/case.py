"""A sidecar freezes for 4.5 seconds and wakes again; keyed requests that were sent to it meanwhile; see claim.txt."""

import asyncio
import signal
import sys
import time
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

from mesh import BOUNDS, Answer, Mesh, Process, first_order, route, run_case  # noqa: E402

HOST = "jepu9.example"
# Kadiri's keyed requests: score-save has 2,500 ms, subscription-charge 4,000 ms.
DEADLINES_MS = (2500, 4000)
REQUESTS = 60
FREEZE_S = 4.5
# Seconds from the freeze to each round of repeats: the first when all machines have been in touch again for a while.
REPEAT_AT_S = (10.0, 20.0, 30.0, 40.0)
REPEAT_DEADLINE_MS = 2500
# RULES.md, DENIED: more than 5 + one in 500 of all requests.
ALLOWED, ALLOWED_SHARE = 5, 500


async def case(mesh: Mesh, trouble: bool) -> bool:
    """Return whether no more requests than allowed are ended with a 409 for a key that is not at work."""
    routes = [
        route("view", HOST, "idempotent", "ledger", 1),
        route("charge", HOST, "keyed", "ledger", 1, cutoff_s=4, target_s=0.6),
    ]
    await mesh.set_up(first_order(routes, ["ledger", "cardserve"]), [(HOST, "/view/warm")])
    await asyncio.sleep(BOUNDS["contact_s"] + 0.5)
    mesh.attempts = 0
    taker, ledger, other = mesh.sidecars

    async def send(sidecar: Process, number: int, deadline_ms: int) -> Answer | None:
        key = [("Operation-Key", f"k-{number}")]
        return await mesh.send(
            sidecar, "POST", "/charge/1", host=HOST, headers=key, body=b"12.50", deadline_ms=deadline_ms
        )

    def runs() -> int:
        return sum(run.path.startswith("/charge/") for run in mesh.runs)

    if trouble:
        ledger.signal(signal.SIGSTOP)
    began = time.monotonic()
    first = []
    for number in range(REQUESTS):
        first.append(asyncio.ensure_future(send(taker, number, DEADLINES_MS[number % len(DEADLINES_MS)])))
        await asyncio.sleep(0.005)
    await asyncio.sleep(began + FREEZE_S - time.monotonic())
    if trouble:
        ledger.signal(signal.SIGCONT)
    answers = [answer and answer.status for answer in await asyncio.gather(*first)]
    mesh.record.note(f"first tries: {dict(Counter(answers))}; {runs()} have run")
    denied = 0
    for at in REPEAT_AT_S:
        await asyncio.sleep(began + at - time.monotonic())
        mesh.record.note(f"all keys are sent again from another machine; {runs()} runs so far, none under way")
        repeats = await asyncio.gather(*(send(other, number, REPEAT_DEADLINE_MS) for number in range(REQUESTS)))
        statuses = [answer and answer.status for answer in repeats]
        denied += sum(status == 409 for status in statuses)
        mesh.record.note(f"repeats {at:.0f} s after the freeze: {dict(Counter(statuses))}; {runs()} have run")
    allowed = ALLOWED + mesh.attempts / ALLOWED_SHARE
    mesh.record.note(
        f"{denied} of {mesh.attempts} requests got 409 for a key that is not at work; {allowed:.1f} allowed"
    )
    return denied <= allowed


run_case(HERE, ["cardserve", "ledger", "cardserve"], case)
