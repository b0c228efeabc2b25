"""`hoistsaddle fleet`: runs and tests a whole deployment on one machine, with test servers and clients."""

import asyncio
import os
import random
import signal
import statistics
import sys
import tempfile
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path

import click

from hoistsaddle.cli.output import exit_with_usage_error

_deployment = click.argument("deployment", type=click.Choice(["brindlefield", "kadiri", "thimble"]))
_folder = click.option(
    "--folder",
    type=click.Path(file_okay=False),
    help="Where settings, logs and data go; a temporary folder by default.",
)
_rate = click.option("--rate", type=float, help="Client requests per second; the deployment's own rate by default.")
_seed = click.option("--seed", type=int, default=1, show_default=True)


@click.group()
def fleet() -> None:
    """Runs and tests whole deployments on this machine."""


@fleet.command()
@_deployment
@_folder
@click.option("--seconds", type=float, help="Stop after this long; without it, run until interrupted.")
@_rate
@_seed
def run(deployment, folder, seconds, rate, seed) -> None:
    """Starts and founds a deployment, rolls out its first bundle and sends client requests (none with --rate 0)."""

    async def work(running, stopped: asyncio.Event):
        from hoistsaddle.testbed.fleet import AUTHOR, SIGNER
        from hoistsaddle.testbed.load import Load
        from hoistsaddle.testbed.proof import Proof

        click.echo(f"export HOISTSADDLE_DOORS='{' '.join(running.operator_addresses)}'")
        click.echo(f"export HOISTSADDLE_STALLS='{' '.join(running.client_addresses())}'")
        click.echo(f"operators: {AUTHOR[0]} has token {AUTHOR[1]}, {SIGNER[0]} has token {SIGNER[1]}")
        click.echo(
            f"a client: curl -i http://{running.client_addresses()[0]}{running.deployment.request_kinds[0].path}"
        )
        async with Load(
            deployment=running.deployment,
            addresses=running.client_addresses(),
            history=running.history,
            seed=random.Random(seed),
            rate=rate,
        ) as load:
            loading = asyncio.ensure_future(load.run(10**9)) if rate != 0 else None
            proof = Proof(fleet=running, load=load, write_line=click.echo)
            wipes: list[asyncio.Task] = []

            def wipe() -> None:
                # Only one core machine at a time: a signal is ignored until the machine wiped before votes again.
                if all(task.done() for task in wipes):
                    wipes.append(asyncio.ensure_future(proof.wipe_leader()))

            asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, wipe)
            click.echo(f"to wipe the disk of the leading core machine and see it recover: kill -USR1 {os.getpid()}")
            try:
                await asyncio.wait_for(stopped.wait(), seconds)
            except TimeoutError:
                pass
            load.stopping = True
            await asyncio.gather(*wipes, return_exceptions=True)
            if loading is not None:
                await loading
        return load

    _with_fleet(deployment, folder, seed, work, outsiders=True)


@fleet.command()
@_deployment
@_folder
@_rate
@_seed
@click.option("--former", is_flag=True, help="Begin at the former release level and upgrade machine by machine.")
@click.option(
    "--older",
    type=click.Path(exists=True, file_okay=False, path_type=Path),
    help="As --former, with the former release's own code, from a checkout of it.",
)
def prove(deployment, folder, rate, seed, former, older) -> None:
    """Injects a day's worth of faults under load and checks every line of "What must never happen"."""

    async def work(running, stopped: asyncio.Event):
        from hoistsaddle.testbed.proof import prove as proof

        return await proof(fleet=running, seed=seed, rate=rate, write_line=click.echo)

    _with_fleet(deployment, folder, seed, work, former=former, older=older)


@fleet.command()
@click.argument("deployment", type=click.Choice(["brindlefield", "kadiri", "thimble", "three", "five"]))
@click.option("--scenario", "scenarios", multiple=True, help="A scenario that `--list` names; all by default.")
@click.option("--seeds", default="1-5", show_default=True, help="Range of seeds, FIRST-LAST.")
@click.option("--workers", type=click.IntRange(1, 256), help="Parallel runs; by default one per CPU core.")
@click.option("--quiet", is_flag=True, help="Print only broken runs and the summary.")
@click.option("--list", "listing", is_flag=True, help="List the scenarios and exit.")
def simulate(deployment, scenarios, seeds, listing, workers, quiet) -> None:
    """Runs failure scenarios against the same code in simulated time, seed by seed."""
    from hoistsaddle.testbed.simulation.catalogue import CORE_SCENARIOS, SCENARIOS, find_scenario
    from hoistsaddle.testbed.simulation.runs import Run, carry_out_all

    if listing:
        for name, scenario in {**SCENARIOS, **CORE_SCENARIOS}.items():
            click.echo(f"{name}: {(scenario.__doc__ or 'nothing goes wrong').strip()}")
        return
    first, _, last = seeds.partition("-")
    unknown = sorted(name for name in set(scenarios) if find_scenario(name) is None)
    if unknown or not first.isdigit() or not (last or first).isdigit():
        exit_with_usage_error(
            f"params: scenarios {unknown} or seeds {seeds!r} can't be read. Remedy: see --list; write seeds like 1-20."
        )
    chosen = scenarios or (CORE_SCENARIOS if deployment in ("three", "five") else SCENARIOS)
    runs = [Run(deployment, name, seed) for seed in range(int(first), int(last or first) + 1) for name in chosen]
    broken = 0
    for outcome in carry_out_all(runs, workers=workers):
        run = outcome.run
        problem = outcome.failed or "; ".join(f"{rule}: {violations[0]}" for rule, violations in outcome.broken.items())
        rerun = f"hoistsaddle fleet simulate {run.deployment} --scenario {run.scenario} --seeds {run.seed}"
        if problem:
            broken += 1
            click.echo(f"BROKEN {run.scenario} seed {run.seed}: {problem} (again: {rerun})")
        elif not quiet:
            click.echo(
                f"{run.scenario} seed {run.seed}: {outcome.answered} of {outcome.asked} answered, "
                f"retries at most {outcome.retry_share:.2f} of the bound, held"
            )
    click.echo(f"{len(runs)} runs of {len(chosen)} scenarios on {deployment}, {broken} broken")
    sys.exit(1 if broken else 0)


@fleet.command()
@click.option("--seeds", default="1-5", show_default=True, help="Range of seeds, FIRST-LAST.")
@click.option("--only", help="Keep only these events of the day, by index: 0,3,4.")
@click.option("--small", is_flag=True, help="Use small sites, whose days run faster.")
@click.option("--no-shrink", is_flag=True, help="Do not reduce a failing day to the events that break a rule.")
@click.option("--workers", type=click.IntRange(1, 256), help="Parallel days; by default one per CPU core.")
def hunt(seeds, only, small, no_shrink, workers) -> None:
    """Simulates random days of the users' platform and looks for broken rules."""
    from hoistsaddle.testbed.emulator import hunt as hunting

    first, _, last = seeds.partition("-")
    indexes = None if only is None else [index.strip() for index in only.split(",") if index.strip()]
    if not first.isdigit() or not (last or first).isdigit() or not all(index.isdigit() for index in indexes or ()):
        exit_with_usage_error(
            f"params: seeds {seeds!r} or events {only!r} can't be read. Remedy: write seeds like 1-20 "
            "and events like 0,3,4."
        )
    kept = None if indexes is None else tuple(int(index) for index in indexes)
    numbers = range(int(first), int(last or first) + 1)
    event_counts = {number: len(hunting.day_of(hunting.DayCase(number, small)).events) for number in numbers}
    if kept is not None and (
        too_short := [number for number in numbers if max(kept, default=-1) >= event_counts[number]]
    ):
        exit_with_usage_error(
            f"params: seed {too_short[0]} has {event_counts[too_short[0]]} events. Remedy: give indexes below that."
        )
    days = [hunting.DayCase(number, small, kept) for number in numbers]
    broken = 0
    for verdict in hunting.hunt(days, workers=workers):
        if not verdict.broken and not verdict.failed:
            click.echo(f"seed {verdict.day_case.seed}: {verdict.served} of {verdict.sent} served, held")
            continue
        broken += 1
        _print_broken(verdict)
        if verdict.broken and not no_shrink:
            smaller = hunting.make_smaller(verdict, write_line=click.echo)
            _print_broken(smaller)
            for event in hunting.day_of(smaller.day_case).events:
                click.echo(f"  {event}")
    click.echo(f"{len(days)} days, {broken} broken")
    sys.exit(1 if broken else 0)


def _print_broken(verdict) -> None:
    day_case = verdict.day_case
    rerun = f"hoistsaddle fleet hunt --seeds {day_case.seed}" + (" --small" if day_case.small else "")
    if day_case.only is not None:
        rerun += f" --only {','.join(str(index) for index in day_case.only)}"
    summary = verdict.failed or "; ".join(
        f"{rule} ({len(violations)}): {violations[0]}" for rule, violations in sorted(verdict.broken.items())
    )
    click.echo(f"BROKEN seed {day_case.seed}: {summary} (again: {rerun})")


@fleet.command()
@click.argument("size", default="3+6")
@click.option("--seeds", default="1", show_default=True, help="Range of seeds, FIRST-LAST.")
@click.option("--minutes", type=click.FloatRange(0.2, 600), default=1.0, show_default=True, help="Minutes of traffic.")
@click.option(
    "--older", type=click.Path(exists=True, file_okay=False, path_type=Path), help="Folder of a former release, built."
)
@click.option("--report", "figures", type=click.Path(file_okay=False, path_type=Path), help="Folder for CSV and plot.")
@click.option("--folder", type=click.Path(file_okay=False, path_type=Path), help="Where settings, logs and data go.")
def soak(size, seeds, minutes, older, figures, folder) -> None:
    """Runs real sidecars and controllers under kept connections, signals, restarts and changes.

    SIZE is CONTROLLERS+SIDECARS, such as 3+6.
    """
    from hoistsaddle.testbed.soak.day import draw_soak
    from hoistsaddle.testbed.soak.report import lines_of, plot_usage, verdict_of, write_usage
    from hoistsaddle.testbed.soak.size import check_room, read_size, site_of, total_memory
    from hoistsaddle.testbed.soak.soak import run_soak

    first, _, last = seeds.partition("-")
    chosen = read_size(size)
    if chosen is None or not first.isdigit() or not (last or first).isdigit():
        exit_with_usage_error(
            f"params: size {size!r} or seeds {seeds!r} can't be read. Remedy: write CONTROLLERS+SIDECARS, "
            "at least 3+6, and seeds like 1-20."
        )
    if (problem := check_room(chosen, memory=total_memory())) is not None:
        exit_with_usage_error(str(problem))
    verdicts: Counter[str] = Counter()
    for seed in range(int(first), int(last or first) + 1):
        run_folder = (folder or Path(tempfile.mkdtemp(prefix="hoistsaddle-soak-"))) / f"seed-{seed}"
        run_folder.mkdir(parents=True, exist_ok=True)
        day = draw_soak(site_of(chosen, seed=seed), seed=seed, seconds=minutes * 60)
        try:
            report = asyncio.run(run_soak(day, folder=run_folder, older=older, write_line=click.echo))
        except asyncio.CancelledError:
            click.echo("stopped: interrupted; all its processes are ended", err=True)
            sys.exit(1)
        verdicts[verdict_of(report)] += 1
        for line in lines_of(report, again=f"hoistsaddle fleet soak {size} --seeds {seed} --minutes {minutes:g}"):
            click.echo(line)
        if figures is not None:
            figures.mkdir(parents=True, exist_ok=True)
            write_usage(report, figures / f"seed-{seed}.csv")
            plot_usage(report, figures / f"seed-{seed}.png")
    click.echo(f"{sum(verdicts.values())} soaks of {size}: {dict(verdicts)}")
    sys.exit(1 if verdicts["BROKEN"] else 0)


@fleet.command()
@click.option(
    "--minutes", type=click.FloatRange(0.05, 600), default=1.0, show_default=True, help="Minutes of random walks."
)
@click.option("--workers", type=click.IntRange(1, 256), help="Parallel processes; by default one per CPU core.")
@_seed
def check(minutes, seed, workers) -> None:
    """Checks a model of the log, its voters and its snapshots: small state spaces in full, then by random walks."""
    from hoistsaddle.testbed.modelcheck import check as checking

    sys.exit(1 if checking.check(minutes=minutes, seed=seed, workers=workers, write_line=click.echo) else 0)


@fleet.command()
@click.option("--point", required=True, type=click.Choice(["cutoff", "orders", "losses", "changes", "answers", "all"]))
@click.option(
    "--site",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help="The site file for which the days are drawn.",
)
@click.option("--count", type=click.IntRange(1, 1000), default=5, show_default=True, help="How many days.")
@click.option("--out", type=click.Path(file_okay=False, path_type=Path), required=True, help="Folder for the files.")
@_seed
def days(point, site, count, out, seed) -> None:
    """Generates days for the users' bench, one TOML file each."""
    from hoistsaddle.testbed.benchdays.site import BenchSite, read_site
    from hoistsaddle.testbed.benchdays.writer import write

    try:
        bench_site = read_site(site) if site else BenchSite()
    except (ValueError, KeyError) as problem:
        exit_with_usage_error(f"params: {site} is no site file ({problem}). Remedy: give a site file of the bench.")
    for path in write(site=bench_site, point=point, seed=seed, count=count, folder=out):
        click.echo(str(path))


@fleet.command()
@click.argument(
    "what", type=click.Choice(["commits", "catch-up", "growth", "news", "added-latency", "takeover", "versions"])
)
@click.option(
    "--older",
    type=click.Path(exists=True, file_okay=False, path_type=Path),
    help="For versions: a checkout of the former release.",
)
def measure(what, older) -> None:
    """Takes one of the measurements that docs/measurements.md records."""
    from hoistsaddle.testbed import measure as measuring
    from hoistsaddle.testbed.deployments import DEPLOYMENTS

    if what == "versions" and older is None:
        exit_with_usage_error("params: versions needs --older. Remedy: give a checkout of the former release.")
    with tempfile.TemporaryDirectory(prefix="hoistsaddle-") as temporary:
        work = {
            "commits": lambda: measuring.commits(folder=Path(temporary), write_line=click.echo),
            "catch-up": lambda: measuring.catch_up(folder=Path(temporary), write_line=click.echo),
            "growth": lambda: measuring.growth(folder=Path(temporary), write_line=click.echo),
            "news": lambda: measuring.update_propagation(
                folder=Path(temporary), write_line=click.echo, deployment=DEPLOYMENTS["brindlefield"]
            ),
            "added-latency": lambda: measuring.added_latency(folder=Path(temporary), write_line=click.echo),
            "versions": lambda: measuring.versions(folder=Path(temporary), write_line=click.echo, older=older),
            "takeover": lambda: measuring.takeover(folder=Path(temporary), write_line=click.echo),
        }[what]
        asyncio.run(work())


@fleet.command()
@click.option(
    "--sizes", default="100,250,500,760", show_default=True, help="Number of nodes of each fleet; empty for no fleet."
)
@click.option("--slope", "slopes", multiple=True, help="A slope that `--list` names; all by default.")
@click.option("--no-slopes", is_flag=True, help="Measure only the fleets.")
@click.option("--small", is_flag=True, help="Measure the slopes at a few small points, once each.")
@click.option(
    "--rounds", type=click.IntRange(1, 100), default=5, show_default=True, help="Repetitions of each timed operation."
)
@click.option("--core", type=click.IntRange(1, 7), default=3, show_default=True, help="Core machines of a fleet.")
@click.option(
    "--whole",
    "full",
    type=click.IntRange(0, 8),
    default=2,
    show_default=True,
    help="Number of full proxies in a fleet.",
)
@click.option(
    "--together", type=click.IntRange(1, 400), default=32, show_default=True, help="Hollow proxies per process."
)
@click.option(
    "--stretch", type=float, default=0.0, help="Real seconds per second of mesh time; by default chosen by size."
)
@click.option("--quiet-seconds", type=float, default=8.0, show_default=True, help="Mesh time without requests.")
@click.option("--load-seconds", type=float, default=4.0, show_default=True, help="Mesh time with calls and claims.")
@click.option(
    "--calls", type=float, default=100.0, show_default=True, help="Plain calls per second of the whole fleet."
)
@click.option("--keyed", type=float, default=40.0, show_default=True, help="Keyed calls per second of the whole fleet.")
@click.option(
    "--losses", default="1,1", show_default=True, help="Numbers of proxies lost at once, one loss after the other."
)
@click.option("--most-seconds", type=float, default=1200.0, show_default=True, help="Longest real time for one fleet.")
@click.option(
    "--figures", type=click.Path(dir_okay=False, path_type=Path), help="File for all figures: .csv or .parquet."
)
@click.option(
    "--plot", "picture", type=click.Path(dir_okay=False, path_type=Path), help="File for the plot: .png or .svg."
)
@click.option("--list", "listing", is_flag=True, help="List the slopes and exit.")
@_seed
def scale(sizes, slopes, no_slopes, small, listing, figures, picture, rounds, seed, losses, **options) -> None:
    """Measures how the cost of the control plane grows with the fleet.

    A fleet consists of a real core, a few full proxies and many hollow ones. The slopes time single control mechanisms
    without sockets.
    """
    from hoistsaddle.testbed.scale import report
    from hoistsaddle.testbed.scale.meter import Measured
    from hoistsaddle.testbed.scale.run import Plan, run_fleet
    from hoistsaddle.testbed.scale.slopes import SLOPES, take

    if listing:
        for name, (work, points, _) in SLOPES.items():
            click.echo(f"{name} ({', '.join(map(str, points))}): {(work.__doc__ or 'see the code').strip()}")
        return
    numbers = f"{sizes},{losses}".replace(" ", "").split(",")
    unknown = sorted(set(slopes) - set(SLOPES))
    if unknown or not all(number.isdigit() or not number for number in numbers):
        exit_with_usage_error(
            f"params: slopes {unknown}, sizes {sizes!r} or losses {losses!r} can't be read. "
            "Remedy: see --list; write sizes like 100,250."
        )
    click.echo(f"seed {seed}; load of this machine now: {', '.join(f'{load:.1f}' for load in os.getloadavg())}")
    measurements: list[Measured] = []
    if not no_slopes:
        chosen = list(slopes or SLOPES)
        measurements += take(chosen, small=small, rounds=1 if small else rounds, write_line=click.echo)
    rows = []
    for size in (int(number) for number in sizes.split(",") if number.strip()):
        # With this value all hollow proxies together need about one CPU core of this machine.
        stretch = options["stretch"] or max(1.0, round(size / 38))
        plan = Plan(
            nodes=size,
            seed=seed,
            losses=tuple(int(number) for number in losses.split(",") if number.strip()),
            **{**options, "stretch": stretch},
        )
        click.echo(f"{size} nodes, {plan.core} core machines, one second of the mesh in {stretch:g} here")
        rows += asyncio.run(run_fleet(plan, write_line=click.echo))
    measurements += report.of_fleet(rows)
    for line in report.table_of(measurements):
        click.echo(line)
    if figures is not None:
        report.write_figures(measurements, figures)
    if picture is not None:
        report.plot(measurements, picture)
    sys.exit(1 if any(each.what.startswith("BROKE") for each in measurements) else 0)


def _with_fleet(
    name: str, folder: str | None, seed: int, work: Callable[..., Awaitable], *, outsiders: bool = False, **options
) -> None:
    with tempfile.TemporaryDirectory(prefix="hoistsaddle-") as temporary:
        used_folder = Path(folder) if folder else Path(temporary)
        try:
            sys.exit(asyncio.run(_run(name, used_folder, seed, work, outsiders, options)))
        except (AssertionError, asyncio.CancelledError) as problem:
            click.echo(
                f"stopped: {problem or 'interrupted'}. Remedy: look at the logs in {used_folder}, or begin "
                "with an empty folder.",
                err=True,
            )
            sys.exit(1)


async def _run(
    name: str, folder: Path, seed: int, work: Callable[..., Awaitable], outsiders: bool, options: dict
) -> int:
    from hoistsaddle.testbed.checkers import check_all
    from hoistsaddle.testbed.deployments import DEPLOYMENTS
    from hoistsaddle.testbed.fleet import Fleet
    from hoistsaddle.testbed.history import RequestResult

    deployment = DEPLOYMENTS[name]
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    main = asyncio.current_task()

    def interrupt() -> None:
        # The first interrupt ends the run gracefully, a second one cancels it.
        if stopped.is_set():
            main.cancel()
        stopped.set()

    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, interrupt)
    async with Fleet(deployment=deployment, folder=folder, seed=seed, **options) as running:
        click.echo(f"seed {seed}; settings, logs and data in {folder}")
        await running.start()
        click.echo(
            f"{name} is up: {deployment.core} core machines, {len(running.proxies)} proxies, each with its server"
        )
        load = await work(running, stopped)
        outcomes = Counter(result.outcome for result in running.history.of(RequestResult))
        if load.latencies:
            ordered = sorted(load.latencies)
            click.echo(
                f"clients: {sum(outcomes.values())} requests, {dict(outcomes)}, median "
                f"{statistics.median(ordered) * 1000:.1f} ms, 99th percentile "
                f"{ordered[int(len(ordered) * 0.99)] * 1000:.1f} ms"
            )
        lines = check_all(running.history, deployment, outsiders=outsiders)
        for line in lines:
            click.echo(line)
    click.echo("everything is stopped")
    return 1 if any(line.startswith("BROKEN") for line in lines) else 0
