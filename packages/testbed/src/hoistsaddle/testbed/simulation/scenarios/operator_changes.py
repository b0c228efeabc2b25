"""Operators work at the same time, and operators change."""

import asyncio

import msgspec
from returns.result import Failure, Result, Success

from hoistsaddle.common.errors import MeshError
from hoistsaddle.registry.operator_actions import OperatorActions
from hoistsaddle.testbed.history import AnswerRequired
from hoistsaddle.testbed.process_names import REGISTRY, proxy_name
from hoistsaddle.testbed.simulation.deployment import SimulatedDeployment
from hoistsaddle.testbed.simulation.operators import Action

# Proposer, signer, operator and token digest ("" removes) of each change, and the error it must meet ("" for none).
CHANGES = (
    (("ada", "ben", "ben", ""), "operator-last"),
    (("ada", "ben", "eve", "e" * 64), ""),
    (("ada", "eve", "ben", "b" * 64), ""),
    (("ada", "ben", "dan", "e" * 64), "operator-conflict"),
    (("ben", "eve", "ada", ""), ""),
)
OPERATORS_AFTER = ["ben", "eve"]


def _drain(operator: str, proxy: str, *, drain: bool = True) -> Action:
    return lambda actions, request: actions.drain(operator=operator, proxy=proxy, drain=drain, request=request)


def _change(operator: str, name: str, digest: str) -> Action:
    return lambda actions, request: actions.change_operator(
        operator=operator, name=name, digest=digest, request=request
    )


def _sign(signer: str, name: str, change: str) -> Action:
    return lambda actions, request: actions.sign_operator(operator=signer, name=name, change=change, request=request)


def _kind_of(result: Result[dict, MeshError]) -> str:
    return "" if isinstance(result, Success) else str(result.failure().kind)


async def _perform_at(
    simulation: SimulatedDeployment, registry: str, request: str, action: Action
) -> Result[dict, MeshError]:
    processes = simulation.processes
    actions = OperatorActions(registry=processes.nodes[registry])
    return await processes.by_name[registry].spawn(action(actions, request))


async def _share_request_ids(simulation: SimulatedDeployment) -> tuple[str, ...]:
    """Sends one call to two registries, then two calls under one id; gives the proxies whose servers are drained."""
    registries = simulation.processes.running(REGISTRY)
    first, last = registries[0], registries[-1]
    same = await asyncio.gather(
        *(_perform_at(simulation, registry, "r1", _drain("ada", proxy_name(1))) for registry in (first, last))
    )
    simulation.expect(
        "one call at two registries is one call", same[0].unwrap()["offset"] == same[1].unwrap()["offset"]
    )
    mixed = await asyncio.gather(
        _perform_at(simulation, first, "r2", _drain("ada", proxy_name(2))),
        _perform_at(simulation, last, "r2", _drain("ben", proxy_name(3))),
    )
    kinds = sorted(_kind_of(each) for each in mixed)
    simulation.expect(f"two calls that share an id aren't one: {kinds}", kinds == ["", "request-reused"])
    return (proxy_name(1), proxy_name(2) if isinstance(mixed[0], Success) else proxy_name(3))


async def _propose_and_sign(simulation: SimulatedDeployment, proposer: str, signer: str, name: str, digest: str) -> str:
    """One change of the operators by two of them; gives the error it met, or nothing."""
    operators, processes = simulation.operators, simulation.processes
    proposed = await operators.perform(_change(proposer, name, digest))
    if isinstance(proposed, Failure):
        return _kind_of(proposed)
    change = proposed.unwrap()["change"]
    own = await operators.perform(_sign(proposer, name, change))
    simulation.expect("nobody signs alone", own.failure().kind == "operator-self-signed")
    # The leader's machine dies between the two halves.
    leader = processes.leader()
    processes.kill(leader)
    processes.restart(leader)
    return _kind_of(await operators.perform(_sign(signer, name, change)))


async def operators_at_once(simulation: SimulatedDeployment) -> None:
    """Two calls share a request id at two registries; an operator is added, renewed, removed; the last two stay."""
    processes, operators = simulation.processes, simulation.operators
    await simulation.start()
    await simulation.wait_for_release_level(seconds=30)
    drained = await _share_request_ids(simulation)
    await operators.read_back(in_force=1, drained=drained)
    for call, kind in CHANGES:
        met = await _propose_and_sign(simulation, *call)
        simulation.expect(f"{call} gives {kind!r}, not {met!r}", met == kind)
    shown = (await operators.read_back(in_force=1, drained=drained))["operators"]
    simulation.expect("the operators are those agreed on", shown == OPERATORS_AFTER)
    # Whatever was accepted in a removed operator's name and comes to the log later has no effect.
    late = await operators.perform(_drain("ada", proxy_name(1), drain=False))
    simulation.expect("who was removed is refused", late.failure().kind == "operator-unknown")
    last = await _propose_and_sign(simulation, "ben", "eve", "eve", "")
    simulation.expect("the last two stay", last == "operator-last")
    for registry in processes.running(REGISTRY):
        answer = await processes.by_name[registry].spawn(processes.nodes[registry].read_configuration(part="operators"))
        known = sorted(msgspec.json.decode(answer.unwrap().content))
        simulation.expect(f"the change is in force at {registry}", known == OPERATORS_AFTER)
    result = await simulation.clients.send_request(simulation.deployment.request_kinds[0], client="v")
    simulation.history.add(AnswerRequired(result.request))
