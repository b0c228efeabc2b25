"""The rules on orders and what is in force: for operators, and as it shows in what machines serve."""

from collections import defaultdict

from hoistsaddle.testbed.emulator.account import CONFIRMED, Account
from hoistsaddle.testbed.emulator.customs import adapter
from hoistsaddle.testbed.emulator.history import LastOrder, Ordered, ReadBack, Sent, Told, Unheard
from hoistsaddle.testbed.emulator.site import BOUNDS, Route

# A large order has this much longer for each route.
ROUTE_SECONDS = 0.003


def configured(account: Account) -> list[str]:
    found = []
    for sent in account.sent.values():
        shown = account.handled(sent)
        if shown is None:
            continue
        got = account.got.get(sent.attempt)
        runs = account.ran[sent.attempt]
        end = runs[0].at if runs else got.at
        floor = account.floor(sent.route, sent.at - BOUNDS["apply_s"])
        if floor < 0 or not account.touch.in_touch(sent.machine, sent.at):
            continue
        may = [each for each in account.versions[sent.route] if each.revision >= floor and each.sent <= end]
        if not any(account.fits(version, shown) for version in may):
            found.append(
                f"{sent.attempt} on {sent.route} by {sent.machine} at {sent.at:.2f}: {shown}, though revision {floor} "
                "was acknowledged before"
            )
    return found


def gone_back(account: Account) -> list[str]:
    """Within one life of a machine's processes, what was seen in force there stays at least as new."""
    found = []
    seen: dict[tuple[str, int, str], list[tuple[float, int]]] = defaultdict(list)
    shows: list[tuple[Sent, float, tuple[str, str]]] = []
    for sent in account.sent.values():
        shown = account.handled(sent)
        if shown is not None:
            runs, got = account.ran[sent.attempt], account.got.get(sent.attempt)
            shows.append((sent, runs[0].at if runs else got.at, shown))
    for sent, at, shown in shows:
        fit = [each for each in account.versions.get(sent.route, ()) if each.sent <= at and account.fits(each, shown)]
        if shown[0] == "run" and fit:
            seen[sent.machine, sent.life, sent.route].append((at, fit[0].revision))
    for sent, at, shown in shows:
        before = [
            revision
            for when, revision in seen[sent.machine, sent.life, sent.route]
            if when + BOUNDS["revert_slack_s"] < sent.at
        ]
        fit = [each for each in account.versions.get(sent.route, ()) if each.sent <= at and account.fits(each, shown)]
        newest = max((version.revision for version in fit), default=-1)
        if before and newest < max(before):
            found.append(f"{sent.attempt} on {sent.route}: {sent.machine} went back from {max(before)} to {newest}")
    return found


def orders(account: Account) -> list[str]:
    """Nothing invalid is acknowledged; what is proper is, within its time, while all is calm."""
    found = []
    proper = {ordered.order: ordered for ordered in account.history.of(Ordered)}
    first: dict[str, float] = {}
    for said in _said(account):
        ordered = proper[said.order]
        if said.status == CONFIRMED:
            if isinstance(said, Told):
                first.setdefault(said.order, said.at)
            if not ordered.proper:
                found.append(f"{said.order} is invalid, and {said.machine} acknowledged it")
        elif ordered.proper and not ordered.contested and _refusal(said.status):
            found.append(f"{said.order} is valid, and {said.machine} refused it with {said.status}")
    for ordered in proper.values():
        end = ordered.at + BOUNDS["ack_s"] + ROUTE_SECONDS * len(ordered.routes)
        # A machine's other troubles, also a leader's disk, are no excuse; answers that were lost on their way are.
        calm = account.touch.settled_over(ordered.at, end) and not account.touch.cut(ordered.at, end)
        lost = any(unheard.order == ordered.order for unheard in account.history.of(Unheard))
        over = account.history.events[-1].at >= end
        due = ordered.proper and not ordered.contested and not lost
        if due and calm and over and first.get(ordered.order, 1e9) > end:
            found.append(f"{ordered.order} sent at {ordered.at:.2f} had no acknowledgement after {BOUNDS['ack_s']} s")
    return found


def _said(account: Account) -> list[Told | Unheard]:
    """Every answer that a core machine gave to an order, heard or lost, in the order of time."""
    answers: list[Told | Unheard] = [*account.history.of(Told), *account.history.of(Unheard)]
    return sorted(answers, key=lambda each: each.at)


def _refusal(status: int) -> bool:
    return 400 <= status < 500 and status not in (408, 429)


def taken(account: Account) -> list[str]:
    """An order that was confirmed, heard or not, is never refused when it is sent again."""
    found = []
    confirmed: dict[str, Told | Unheard] = {}
    for said in _said(account):
        before = confirmed.get(said.order)
        if said.status == CONFIRMED:
            confirmed.setdefault(said.order, said)
        elif before is not None and _refusal(said.status):
            found.append(
                f"{said.order} was confirmed by {before.machine} at {before.at:.2f}, and refused with {said.status} "
                f"by {said.machine} at {said.at:.2f}"
            )
    return found


def one_content(account: Account) -> list[str]:
    """Of several contents under one version of an item, one is confirmed; not all are refused."""
    found = []
    confirmed = {said.order for said in _said(account) if said.status == CONFIRMED}
    refusals = {said.order for said in _said(account) if _refusal(said.status)}
    contents: dict[tuple[str, int], dict[str, Route | None]] = defaultdict(dict)
    for ordered in account.history.of(Ordered):
        if ordered.proper:
            for name, revision, route in ordered.routes:
                contents[name, revision][ordered.order] = route
    for (name, revision), by_order in contents.items():
        kept = {order: route for order, route in by_order.items() if order in confirmed}
        if len(set(kept.values())) > 1:
            found.append(f"{name} at {revision} was confirmed with {len(set(kept.values()))} contents: {sorted(kept)}")
        elif not kept and set(by_order) <= refusals:
            found.append(f"{name} at {revision}: {sorted(by_order)} were all refused, and none was confirmed")
    return found


def majority(account: Account) -> list[str]:
    """No losses that had to be borne take the majority away for good: the order of the last calm is confirmed."""
    found = []
    confirmed = {said.order for said in _said(account) if said.status == CONFIRMED}
    for last in account.history.of(LastOrder):
        if account.touch.settled_over(last.at, last.at + BOUNDS["ack_s"]) and last.order not in confirmed:
            found.append(f"{last.order}, sent in calm at the end, was never confirmed")
    return found


def read_back(account: Account) -> list[str]:
    found = []
    said: dict[tuple[str, int, Route], dict] = {}
    for ordered in account.history.of(Ordered):
        if ordered.proper:
            for name, revision, route in ordered.routes:
                if route is not None:
                    said[name, revision, route] = ordered.said[name]
    reads = account.history.of(ReadBack)
    if reads and all(read.routes is None for read in reads):
        found.append("no core machine answered when read back")
    for read in reads:
        if read.routes is None:
            continue
        for name, versions in account.versions.items():
            floor = account.given(name)
            told = read.routes.get(name)
            # An order without a clear answer may be in force or not.
            may = [version for version in versions if version.revision >= floor]
            if told is None:
                if floor >= 0 and not any(version.route is None for version in may):
                    found.append(f"{read.machine}: {name} is missing, {floor} was confirmed")
                continue
            revision = adapter("samples").revision_of(told)
            if revision < floor:
                found.append(f"{read.machine}: {name} is at {revision}, {floor} was confirmed")
            elif told not in [
                said[name, revision, version.route] for version in may if version.revision == revision and version.route
            ]:
                found.append(f"{read.machine}: {name} at {revision} is not what was sent")
        found += [f"{read.machine}: {name} was never sent" for name in read.routes if name not in account.versions]
    return found
