"""Concurrent calls of operators, and changes of the operators themselves."""

import asyncio

import msgspec
from returns.result import Failure, Result, Success

from hoistsaddle.common.errors import MeshError
from hoistsaddle.registry.operator_actions import OperatorActions
from hoistsaddle.testbed.history import AnswerRequired
from hoistsaddle.testbed.process_names import REGISTRY, proxy_name
from hoistsaddle.testbed.simulation.deployment import SimulatedDeployment
from hoistsaddle.testbed.simulation.operators import Action

# Proposer, signer, operator and token digest ("" removes) of each change, and the expected error ("" for none).
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
    """Sends one call to two registries, then two calls with one id; returns the proxies whose servers are drained."""
    registries = simulation.processes.running(REGISTRY)
    first, last = registries[0], registries[-1]
    same = await asyncio.gather(
        *(_perform_at(simulation, registry, "r1", _drain("ada", proxy_name(1))) for registry in (first, last))
    )
    simulation.expect(
        "one call sent to two registries is applied once", same[0].unwrap()["offset"] == same[1].unwrap()["offset"]
    )
    mixed = await asyncio.gather(
        _perform_at(simulation, first, "r2", _drain("ada", proxy_name(2))),
        _perform_at(simulation, last, "r2", _drain("ben", proxy_name(3))),
    )
    kinds = sorted(_kind_of(each) for each in mixed)
    simulation.expect(f"one of two calls that share an id is rejected: {kinds}", kinds == ["", "request-reused"])
    return (proxy_name(1), proxy_name(2) if isinstance(mixed[0], Success) else proxy_name(3))


async def _propose_and_sign(simulation: SimulatedDeployment, proposer: str, signer: str, name: str, digest: str) -> str:
    """Changes the operators by a proposal and a signature; returns the kind of error, or ""."""
    operators, processes = simulation.operators, simulation.processes
    proposed = await operators.perform(_change(proposer, name, digest))
    if isinstance(proposed, Failure):
        return _kind_of(proposed)
    change = proposed.unwrap()["change"]
    self_signed = await operators.perform(_sign(proposer, name, change))
    simulation.expect("a proposer can't sign its own change", self_signed.failure().kind == "operator-self-signed")
    # The leader is killed between the proposal and the signature.
    leader = processes.leader()
    processes.kill(leader)
    processes.restart(leader)
    return _kind_of(await operators.perform(_sign(signer, name, change)))


async def operators_at_once(simulation: SimulatedDeployment) -> None:
    """Calls share a request id at two registries; operators are added, renewed and removed, but never the last two."""
    processes, operators = simulation.processes, simulation.operators
    await simulation.start()
    await simulation.wait_for_release_level(seconds=30)
    drained = await _share_request_ids(simulation)
    await operators.read_back(in_force=1, drained=drained)
    for call, kind in CHANGES:
        actual = await _propose_and_sign(simulation, *call)
        simulation.expect(f"{call}: expected {kind!r}, got {actual!r}", actual == kind)
    shown = (await operators.read_back(in_force=1, drained=drained))["operators"]
    simulation.expect("the operators are the ones that were agreed on", shown == OPERATORS_AFTER)
    # A call that was accepted for an operator and reaches the log after its removal has no effect.
    late = await operators.perform(_drain("ada", proxy_name(1), drain=False))
    simulation.expect("a call of a removed operator is rejected", late.failure().kind == "operator-unknown")
    last = await _propose_and_sign(simulation, "ben", "eve", "eve", "")
    simulation.expect("the last two operators can't be removed", last == "operator-last")
    for registry in processes.running(REGISTRY):
        answer = await processes.by_name[registry].spawn(processes.nodes[registry].read_configuration(part="operators"))
        operators_read = sorted(msgspec.json.decode(answer.unwrap().content))
        simulation.expect(f"the change is in force at {registry}", operators_read == OPERATORS_AFTER)
    result = await simulation.clients.send_request(simulation.deployment.request_kinds[0], client="v")
    simulation.history.add(AnswerRequired(result.request))
