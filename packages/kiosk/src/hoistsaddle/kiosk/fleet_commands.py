"""`hoistsaddle fleet`: a whole deployment on one machine, with stand-in servers and callers."""
import asyncio
import random
import signal
import statistics
import tempfile
from collections import Counter
from pathlib import Path

import click


@click.group()
def fleet() -> None:
    """Runs a whole deployment on this machine."""


@fleet.command()
@click.argument("deployment", type=click.Choice(["brindlefield", "kadiri", "thimble"]))
@click.option("--folder", type=click.Path(file_okay=False), help="Where settings, logs and data go; a temporary folder by default.")
@click.option("--seconds", type=float, help="Stop after this long; without it, run until interrupted.")
@click.option("--rate", type=float, help="Visitor requests a second; the deployment's own by default, 0 for none.")
@click.option("--seed", type=int, default=1, show_default=True)
def run(deployment, folder, seconds, rate, seed) -> None:
    """Starts it, founds it, rolls out its first bundle, and sends it visitors."""
    with tempfile.TemporaryDirectory(prefix="hoistsaddle-") as temporary:
        asyncio.run(_run(deployment, Path(folder) if folder else Path(temporary), seconds, rate, seed))


async def _run(name: str, folder: Path, seconds: float | None, rate: float | None, seed: int) -> None:
    from hoistsaddle.fairground.checkers import check_all
    from hoistsaddle.fairground.deployments import DEPLOYMENTS
    from hoistsaddle.fairground.fleet import AUTHOR, SIGNER, Fleet
    from hoistsaddle.fairground.history import Got
    from hoistsaddle.fairground.load import Load

    deployment = DEPLOYMENTS[name]
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stopped.set)
    async with Fleet(deployment=deployment, folder=folder, seed=seed) as running:
        click.echo(f"seed {seed}; settings, logs and data in {folder}")
        await running.start()
        click.echo(f"{name} is up: {deployment.core} core machines, {len(running.stalls)} stalls, each with its server")
        click.echo(f"export HOISTSADDLE_DOORS='{' '.join(running.doors)}'")
        click.echo(f"export HOISTSADDLE_STALLS='{' '.join(running.visitor_doors())}'")
        click.echo(f"operators: {AUTHOR[0]} has token {AUTHOR[1]}, {SIGNER[0]} has token {SIGNER[1]}")
        click.echo(f"a visitor: curl -i http://{running.visitor_doors()[0]}{deployment.asks[0].path}")
        async with Load(deployment=deployment, doors=running.visitor_doors(), history=running.history, seed=random.Random(seed), rate=rate) as load:
            work = asyncio.ensure_future(load.run(seconds or 10**9)) if rate != 0 else None
            try:
                await asyncio.wait_for(stopped.wait(), seconds)
            except TimeoutError:
                pass
            if work is not None:
                if stopped.is_set():
                    work.cancel()
                await asyncio.gather(work, return_exceptions=True)
        outcomes = Counter(got.outcome for got in running.history.of(Got))
        if load.latencies:
            ordered = sorted(load.latencies)
            click.echo(f"visitors: {sum(outcomes.values())} asked, {dict(outcomes)}, median {statistics.median(ordered) * 1000:.1f} ms, 99th of 100 {ordered[int(len(ordered) * 0.99)] * 1000:.1f} ms")
        for line in check_all(running.history, deployment):
            click.echo(line)
    click.echo("everything is stopped")
