"""The rules on orders and what is in force: for operators, and as it shows in what machines serve."""

from collections import defaultdict

from hoistsaddle.testbed.emulator.history import (
    ChangeAnswered,
    ChangeAnswerLost,
    ChangeSubmitted,
    ConfigurationRead,
    FinalChange,
    RequestSent,
)
from hoistsaddle.testbed.emulator.history_index import CONFIRMED, HistoryIndex
from hoistsaddle.testbed.emulator.platform_adapter import adapter
from hoistsaddle.testbed.emulator.site import BOUNDS, Route

# A large order has this much longer for each route.
ROUTE_SECONDS = 0.003


def configured(index: HistoryIndex) -> list[str]:
    found = []
    for sent in index.sent.values():
        shown = index.handled(sent)
        if shown is None:
            continue
        result = index.result.get(sent.attempt)
        runs = index.ran[sent.attempt]
        end = runs[0].at if runs else result.at
        floor = index.floor(sent.route, sent.at - BOUNDS["apply_s"])
        if floor < 0 or not index.timeline.connected(sent.machine, sent.at):
            continue
        may = [each for each in index.versions[sent.route] if each.revision >= floor and each.sent <= end]
        if not any(index.fits(version, shown) for version in may):
            found.append(
                f"{sent.attempt} on {sent.route} by {sent.machine} at {sent.at:.2f}: {shown}, though revision {floor} "
                "was acknowledged before"
            )
    return found


def gone_back(index: HistoryIndex) -> list[str]:
    """Within one life of a machine's processes, what was seen in force there stays at least as new."""
    found = []
    seen: dict[tuple[str, int, str], list[tuple[float, int]]] = defaultdict(list)
    shows: list[tuple[RequestSent, float, tuple[str, str]]] = []
    for sent in index.sent.values():
        shown = index.handled(sent)
        if shown is not None:
            runs, result = index.ran[sent.attempt], index.result.get(sent.attempt)
            shows.append((sent, runs[0].at if runs else result.at, shown))
    for sent, at, shown in shows:
        fit = [each for each in index.versions.get(sent.route, ()) if each.sent <= at and index.fits(each, shown)]
        if shown[0] == "run" and fit:
            seen[sent.machine, sent.life, sent.route].append((at, fit[0].revision))
    for sent, at, shown in shows:
        before = [
            revision
            for when, revision in seen[sent.machine, sent.life, sent.route]
            if when + BOUNDS["revert_slack_s"] < sent.at
        ]
        fit = [each for each in index.versions.get(sent.route, ()) if each.sent <= at and index.fits(each, shown)]
        newest = max((version.revision for version in fit), default=-1)
        if before and newest < max(before):
            found.append(f"{sent.attempt} on {sent.route}: {sent.machine} went back from {max(before)} to {newest}")
    return found


def orders(index: HistoryIndex) -> list[str]:
    """Nothing invalid is acknowledged; what is proper is, within its time, while all is calm."""
    found = []
    proper = {submitted.change_request: submitted for submitted in index.history.of(ChangeSubmitted)}
    first: dict[str, float] = {}
    for said in _said(index):
        submitted = proper[said.change_request]
        if said.status == CONFIRMED:
            if isinstance(said, ChangeAnswered):
                first.setdefault(said.change_request, said.at)
            if not submitted.proper:
                found.append(f"{said.change_request} is invalid, and {said.machine} acknowledged it")
        elif submitted.proper and not submitted.contested and _refusal(said.status):
            found.append(f"{said.change_request} is valid, and {said.machine} refused it with {said.status}")
    for submitted in proper.values():
        end = submitted.at + BOUNDS["ack_s"] + ROUTE_SECONDS * len(submitted.routes)
        # A machine's other troubles, also a leader's disk, are no excuse; answers that were lost on their way are.
        calm = index.timeline.settled_over(submitted.at, end) and not index.timeline.cut(submitted.at, end)
        lost = any(unheard.change_request == submitted.change_request for unheard in index.history.of(ChangeAnswerLost))
        over = index.history.events[-1].at >= end
        due = submitted.proper and not submitted.contested and not lost
        if due and calm and over and first.get(submitted.change_request, 1e9) > end:
            found.append(
                f"{submitted.change_request} sent at {submitted.at:.2f} "
                f"had no acknowledgement after {BOUNDS['ack_s']} s"
            )
    return found


def _said(index: HistoryIndex) -> list[ChangeAnswered | ChangeAnswerLost]:
    """Every answer that a core machine gave to an order, heard or lost, in the order of time."""
    answers: list[ChangeAnswered | ChangeAnswerLost] = [
        *index.history.of(ChangeAnswered),
        *index.history.of(ChangeAnswerLost),
    ]
    return sorted(answers, key=lambda each: each.at)


def _refusal(status: int) -> bool:
    return 400 <= status < 500 and status not in (408, 429)


def taken(index: HistoryIndex) -> list[str]:
    """An order that was confirmed, heard or not, is never refused when it is sent again."""
    found = []
    confirmed: dict[str, ChangeAnswered | ChangeAnswerLost] = {}
    for said in _said(index):
        before = confirmed.get(said.change_request)
        if said.status == CONFIRMED:
            confirmed.setdefault(said.change_request, said)
        elif before is not None and _refusal(said.status):
            found.append(
                f"{said.change_request} was confirmed by {before.machine} at {before.at:.2f}, "
                f"and refused with {said.status} by {said.machine} at {said.at:.2f}"
            )
    return found


def one_content(index: HistoryIndex) -> list[str]:
    """Of several contents under one version of an item, one is confirmed; not all are refused."""
    found = []
    confirmed = {said.change_request for said in _said(index) if said.status == CONFIRMED}
    refusals = {said.change_request for said in _said(index) if _refusal(said.status)}
    contents: dict[tuple[str, int], dict[str, Route | None]] = defaultdict(dict)
    for submitted in index.history.of(ChangeSubmitted):
        if submitted.proper:
            for name, revision, route in submitted.routes:
                contents[name, revision][submitted.change_request] = route
    for (name, revision), by_order in contents.items():
        kept = {change_request: route for change_request, route in by_order.items() if change_request in confirmed}
        if len(set(kept.values())) > 1:
            found.append(f"{name} at {revision} was confirmed with {len(set(kept.values()))} contents: {sorted(kept)}")
        elif not kept and set(by_order) <= refusals:
            found.append(f"{name} at {revision}: {sorted(by_order)} were all refused, and none was confirmed")
    return found


def majority(index: HistoryIndex) -> list[str]:
    """No losses that had to be borne take the majority away for good: the order of the last calm is confirmed."""
    found = []
    confirmed = {said.change_request for said in _said(index) if said.status == CONFIRMED}
    for last in index.history.of(FinalChange):
        if index.timeline.settled_over(last.at, last.at + BOUNDS["ack_s"]) and last.change_request not in confirmed:
            found.append(f"{last.change_request}, sent in calm at the end, was never confirmed")
    return found


def read_back(index: HistoryIndex) -> list[str]:
    found = []
    said: dict[tuple[str, int, Route], dict] = {}
    for submitted in index.history.of(ChangeSubmitted):
        if submitted.proper:
            for name, revision, route in submitted.routes:
                if route is not None:
                    said[name, revision, route] = submitted.said[name]
    reads = index.history.of(ConfigurationRead)
    if reads and all(read.routes is None for read in reads):
        found.append("no core machine answered when read back")
    for read in reads:
        if read.routes is None:
            continue
        for name, versions in index.versions.items():
            floor = index.given(name)
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
        found += [f"{read.machine}: {name} was never sent" for name in read.routes if name not in index.versions]
    return found
