"""Operators' actions: changes are reported as accepted once no proxy can act on the previous configuration."""

import hashlib
import secrets
from datetime import timedelta

import msgspec
from returns.result import Failure, Result, Success

from hoistsaddle.common.clock import milliseconds
from hoistsaddle.common.errors import MeshError, OperatorUnknown
from hoistsaddle.config.bundle import Stage
from hoistsaddle.config.bundle_checks import read_bundle
from hoistsaddle.registry.applied_versions import REFUSED
from hoistsaddle.registry.errors import BundleRefused
from hoistsaddle.registry.node import Registry
from hoistsaddle.registry.writer import error_in
from hoistsaddle.statemachine.commands import (
    AbortBundle,
    AdvanceBundle,
    Command,
    DrainServer,
    Outcome,
    ProposeOperatorChange,
    SignBundle,
    SignOperatorChange,
    SubmitBundle,
    WithdrawOperatorChange,
)

WRITE_TIMEOUT = timedelta(seconds=8)
REFRESH_TIMEOUT = milliseconds(1200)
_UNKNOWN_TOKEN = OperatorUnknown("No operator has this token.", field="Authorization")


class OperatorActions:
    """The actions of operators through one registry; each has the id of its call, which makes repeats idempotent."""

    def __init__(self, *, registry: Registry) -> None:
        """Writes and reads through this registry."""
        self.registry = registry

    async def operator_of(self, token: str) -> Result[str, MeshError]:
        """The name of the operator with this token, from a read that the leader confirms."""
        if not token:
            return Failure(_UNKNOWN_TOKEN)
        digest = hashlib.sha256(token.encode()).hexdigest()
        match await self.registry.read_configuration(part="operators"):
            case Failure(error):
                return Failure(error)
            case Success(answer):
                operators = msgspec.json.decode(answer.content)
        for name, known in operators.items():
            if secrets.compare_digest(known, digest):
                return Success(name)
        return Failure(_UNKNOWN_TOKEN)

    async def _write(self, command: Command) -> Result[Outcome, MeshError]:
        match await self.registry.writer.write(command, within=WRITE_TIMEOUT):
            case Success(outcome) if outcome.error:
                return Failure(error_in(outcome))
            case result:
                return result

    # -- bundles and servers -----------------------------------------------------------------------------------------

    async def submit(self, *, author: str, text: str, request: str) -> Result[dict, MeshError]:
        """Submits a bundle's text as a draft."""
        # Checked before it is written to the log; the state machine checks again, as the bundle in force may change.
        if isinstance(checked := read_bundle(text), Failure):
            return checked
        match await self._write(SubmitBundle(request, author, text)):
            case Success(outcome):
                self.registry.counters.record_event("bundle submitted", number=outcome.detail["number"], author=author)
                return Success({"submitted": outcome.detail})
            case Failure(error):
                self.registry.counters.record_event("bundle refused", mishap=str(error.kind), author=author)
                return Failure(error)

    async def sign(self, *, operator: str, number: int, digest: str, request: str) -> Result[dict, MeshError]:
        """Signs off a draft, which puts its first stage in force."""
        command = SignBundle(request, operator, number, digest)
        return await self._write_and_await_acceptance(command, operator, "bundle signed")

    async def advance(self, *, operator: str, number: int, from_stage: int, request: str) -> Result[dict, MeshError]:
        """Moves a bundle that is rolling out from this stage to the next."""
        command = AdvanceBundle(request, operator, number, from_stage)
        return await self._write_and_await_acceptance(command, operator, "bundle advanced")

    async def abort(self, *, operator: str, number: int, request: str) -> Result[dict, MeshError]:
        """Withdraws a draft, or a bundle that is rolling out."""
        command = AbortBundle(request, operator, number)
        return await self._write_and_await_acceptance(command, operator, "bundle aborted")

    async def drain(self, *, operator: str, proxy: str, drain: bool, request: str) -> Result[dict, MeshError]:
        """Marks the server of a proxy as draining, or removes the mark."""
        command = DrainServer(request, operator, proxy, drain)
        event = "server drained" if drain else "server undrained"
        return await self._write_and_await_acceptance(command, operator, event)

    # -- operators ---------------------------------------------------------------------------------------------------

    async def change_operator(self, *, operator: str, name: str, digest: str, request: str) -> Result[dict, MeshError]:
        """Proposes a change of an operator, with an empty digest for a removal; a second operator signs it."""
        command = ProposeOperatorChange(request, operator, name, digest)
        return await self._write_and_report(command, operator, "operator change proposed")

    async def sign_operator(self, *, operator: str, name: str, change: str, request: str) -> Result[dict, MeshError]:
        """Signs a proposed change.

        Every call looks its token up by a confirmed read, so the change is in force everywhere once it is committed.
        """
        command = SignOperatorChange(request, operator, name, change)
        return await self._write_and_report(command, operator, "operator change signed")

    async def drop_operator(self, *, operator: str, name: str, request: str) -> Result[dict, MeshError]:
        """Withdraws a proposed change."""
        command = WithdrawOperatorChange(request, operator, name)
        return await self._write_and_report(command, operator, "operator change dropped")

    async def _write_and_report(self, command: Command, operator: str, event: str) -> Result[dict, MeshError]:
        match await self._write(command):
            case Success(outcome):
                self.registry.counters.record_event(event, **outcome.detail)
                return Success(outcome.detail)
            case Failure(error):
                return self._record_refusal(error, operator, event)

    def _record_refusal(self, error: MeshError, operator: str, event: str) -> Result[dict, MeshError]:
        self.registry.counters.record_event("operator refused", wanted=event, mishap=str(error.kind), operator=operator)
        return Failure(error)

    # -- acceptance --------------------------------------------------------------------------------------------------

    async def _write_and_await_acceptance(self, command: Command, operator: str, event: str) -> Result[dict, MeshError]:
        registry = self.registry
        match await self._write(command):
            case Failure(error):
                return self._record_refusal(error, operator, event)
            case Success(outcome):
                committed = registry.runtime.now()
        detail = outcome.detail
        registry.counters.record_event(event, operator=operator, **detail)
        await registry.refresh(within=REFRESH_TIMEOUT)
        revision = detail["offset"]
        outcomes = await registry.applied_versions.wait_for_all(
            revision=revision, proxies=lambda: self._affected_proxies(detail), committed=committed
        )
        seconds = round((registry.runtime.now() - committed).total_seconds(), 3)
        registry.counters.gauge("acceptance.seconds", seconds)
        refused = sorted(proxy for proxy, state in outcomes.items() if state.startswith(REFUSED))
        answer = {
            "accepted": not refused,
            "operator": operator,
            **detail,
            "revision": revision,
            "machines": outcomes,
            "seconds": seconds,
        }
        if refused:
            answer["refused"] = BundleRefused(f"{', '.join(refused)} refused it.", field="number").describe()
        registry.counters.record_event(
            "in force" if not refused else "stage refused", revision=revision, seconds=seconds, what=event
        )
        return Success(answer)

    def _affected_proxies(self, detail: dict) -> list[str]:
        """The proxies that must apply the change: all of them, or those of the stages reached so far."""
        stages = self._stages_reached(detail)
        return sorted(
            proxy.node
            for proxy in self.registry.proxies_with_possible_lease()
            if stages is None or any(stage.includes(proxy=proxy.node, zone=proxy.zone) for stage in stages)
        )

    def _stages_reached(self, detail: dict) -> list[Stage] | None:
        """The stages of the bundle that is rolling out, up to the one reached; None if all proxies are affected."""
        if "stage" not in detail:
            return None
        item = self.registry.relay.copy.items.get(f"bundle:{detail['number']}")
        if item is None:
            return None
        _, _, text = msgspec.msgpack.decode(item[1])
        return read_bundle(text).unwrap().rollout()[: detail["stage"]]
