"""Operators' actions: writes changes and says "accepted" only once nobody can act on the former configuration."""

import hashlib
import secrets
from datetime import timedelta
from typing import TYPE_CHECKING

import msgspec
from returns.result import Failure, Result, Success

from hoistsaddle.common.clock import milliseconds
from hoistsaddle.common.errors import ErrorKind, MeshError
from hoistsaddle.config.bundle import Stage, read_bundle
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

if TYPE_CHECKING:
    from hoistsaddle.registry.service import Registry

WRITE_TIMEOUT = timedelta(seconds=8)


class OperatorActions:
    def __init__(self, *, registry: "Registry") -> None:
        self.registry = registry

    async def operator_of(self, token: str) -> Result[str, MeshError]:
        unknown = Failure(
            MeshError(
                ErrorKind.OPERATOR_UNKNOWN,
                "No operator has this token.",
                "Send Authorization: Bearer with the token given at founding.",
                "Authorization",
            )
        )
        if not token:
            return unknown
        digest = hashlib.sha256(token.encode()).hexdigest()
        match await self.registry.read_configuration(part="operators"):
            case Success(answer):
                for name, known in msgspec.json.decode(answer.content).items():
                    if secrets.compare_digest(known, digest):
                        return Success(name)
                return unknown
            case Failure(error):
                return Failure(error)

    async def _write(self, command: Command) -> Result[Outcome, MeshError]:
        match await self.registry.writer.write(command, within=WRITE_TIMEOUT):
            case Success(outcome) if outcome.error:
                return Failure(MeshError(outcome.error, outcome.message, outcome.remedy, outcome.field))
            case result:
                return result

    async def submit(self, *, author: str, text: str, request: str) -> Result[dict, MeshError]:
        # Checked here before the log is troubled; the log checks again, for what is in force may have moved.
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
        return await self._write_and_await_acceptance(
            SignBundle(request, operator, number, digest), operator, "bundle signed"
        )

    async def advance(self, *, operator: str, number: int, from_stage: int, request: str) -> Result[dict, MeshError]:
        return await self._write_and_await_acceptance(
            AdvanceBundle(request, operator, number, from_stage), operator, "bundle advanced"
        )

    async def abort(self, *, operator: str, number: int, request: str) -> Result[dict, MeshError]:
        return await self._write_and_await_acceptance(
            AbortBundle(request, operator, number), operator, "bundle aborted"
        )

    async def drain(self, *, operator: str, proxy: str, drain: bool, request: str) -> Result[dict, MeshError]:
        return await self._write_and_await_acceptance(
            DrainServer(request, operator, proxy, drain), operator, "server drained" if drain else "server undrained"
        )

    async def change_operator(self, *, operator: str, name: str, digest: str, request: str) -> Result[dict, MeshError]:
        """One operator's half; it has no effect before a second person signs it."""
        command = ProposeOperatorChange(request, operator, name, digest)
        return await self._write_and_report(command, operator, "operator change proposed")

    async def sign_operator(self, *, operator: str, name: str, change: str, request: str) -> Result[dict, MeshError]:
        """Every call's token is looked up by a confirmed read, so what is committed is in force everywhere."""
        return await self._write_and_report(
            SignOperatorChange(request, operator, name, change), operator, "operator change signed"
        )

    async def drop_operator(self, *, operator: str, name: str, request: str) -> Result[dict, MeshError]:
        return await self._write_and_report(
            WithdrawOperatorChange(request, operator, name), operator, "operator change dropped"
        )

    async def _write_and_report(self, command: Command, operator: str, kind: str) -> Result[dict, MeshError]:
        match await self._write(command):
            case Success(outcome):
                self.registry.counters.record_event(kind, **outcome.detail)
                return Success(outcome.detail)
            case Failure(error):
                self.registry.counters.record_event(
                    "operator refused", wanted=kind, mishap=str(error.kind), operator=operator
                )
                return Failure(error)

    async def _write_and_await_acceptance(self, command: Command, operator: str, kind: str) -> Result[dict, MeshError]:
        registry = self.registry
        match await self._write(command):
            case Failure(error):
                registry.counters.record_event(
                    "operator refused", wanted=kind, mishap=str(error.kind), operator=operator
                )
                return Failure(error)
            case Success(outcome):
                committed = registry.runtime.now()
        registry.counters.record_event(kind, operator=operator, **outcome.detail)
        await registry.refresh(within=milliseconds(1200))
        revision = outcome.detail["offset"]
        outcomes = await registry.await_applied_version(
            revision=revision, proxies=lambda: self._affected_proxies(outcome.detail), committed=committed
        )
        spent = round((registry.runtime.now() - committed).total_seconds(), 3)
        registry.counters.gauge("acceptance.seconds", spent)
        refused = sorted(proxy for proxy, state in outcomes.items() if state.startswith("refused"))
        answer = {
            "accepted": not refused,
            "operator": operator,
            **outcome.detail,
            "revision": revision,
            "machines": outcomes,
            "seconds": spent,
        }
        if refused:
            answer["refused"] = MeshError(
                ErrorKind.BUNDLE_REFUSED,
                f"{', '.join(refused)} refused it.",
                "Abort the roll-out, or replace those machines' release, then advance.",
                "number",
            ).describe()
        registry.counters.record_event(
            "in force" if not refused else "stage refused", revision=revision, seconds=spent, what=kind
        )
        return Success(answer)

    def _affected_proxies(self, detail: dict) -> list[str]:
        """The stalls that must act on the change: all of them, or those of the stages reached so far."""
        stages: list[Stage] | None = None
        if "stage" in detail and (item := self.registry.relay.copy.items.get(f"bundle:{detail['number']}")):
            _, _, text = msgspec.msgpack.decode(item[1])
            stages = read_bundle(text).unwrap().rollout()[: detail["stage"]]
        return sorted(
            proxy.node
            for proxy in self.registry.proxies_with_possible_lease()
            if stages is None or any(stage.holds(proxy=proxy.node, zone=proxy.zone) for stage in stages)
        )
