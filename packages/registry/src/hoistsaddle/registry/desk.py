"""The operators' desk: writes their changes and says "accepted" only once nobody can act on the setup before them."""

import hashlib
import secrets
from datetime import timedelta
from typing import TYPE_CHECKING

import msgspec
from returns.result import Failure, Result, Success

from hoistsaddle.common.clock import milliseconds
from hoistsaddle.common.errors import Mishap, MishapKind
from hoistsaddle.config.bundle import Stage, read_bundle
from hoistsaddle.statemachine.commands import (
    AbortBundle,
    AdvanceBundle,
    ChangeOperator,
    Command,
    DrainServer,
    DropOperator,
    Outcome,
    SignBundle,
    SignOperator,
    SubmitBundle,
)

if TYPE_CHECKING:
    from hoistsaddle.registry.service import Registry

WRITE_SPAN = timedelta(seconds=8)


class Desk:
    def __init__(self, *, bourse: "Registry") -> None:
        self.bourse = bourse

    async def operator_of(self, token: str) -> Result[str, Mishap]:
        unknown = Failure(
            Mishap(
                MishapKind.OPERATOR_UNKNOWN,
                "No operator has this token.",
                "Send Authorization: Bearer with the token given at founding.",
                "Authorization",
            )
        )
        if not token:
            return unknown
        digest = hashlib.sha256(token.encode()).hexdigest()
        match await self.bourse.read_setup(part="operators"):
            case Success(answer):
                for name, known in msgspec.json.decode(answer.content).items():
                    if secrets.compare_digest(known, digest):
                        return Success(name)
                return unknown
            case Failure(mishap):
                return Failure(mishap)

    async def _write(self, command: Command) -> Result[Outcome, Mishap]:
        match await self.bourse.writer.write(command, within=WRITE_SPAN):
            case Success(outcome) if outcome.mishap:
                return Failure(Mishap(outcome.mishap, outcome.message, outcome.remedy, outcome.field))
            case result:
                return result

    async def submit(self, *, author: str, text: str, request: str) -> Result[dict, Mishap]:
        # Checked here before the log is troubled; the log checks again, for what is in force may have moved.
        if isinstance(checked := read_bundle(text), Failure):
            return checked
        match await self._write(SubmitBundle(request, author, text)):
            case Success(outcome):
                self.bourse.counters.happen("bundle submitted", number=outcome.detail["number"], author=author)
                return Success({"submitted": outcome.detail})
            case Failure(mishap):
                self.bourse.counters.happen("bundle refused", mishap=str(mishap.kind), author=author)
                return Failure(mishap)

    async def sign(self, *, operator: str, number: int, digest: str, request: str) -> Result[dict, Mishap]:
        return await self._roll(SignBundle(request, operator, number, digest), operator, "bundle signed")

    async def advance(self, *, operator: str, number: int, from_stage: int, request: str) -> Result[dict, Mishap]:
        return await self._roll(AdvanceBundle(request, operator, number, from_stage), operator, "bundle advanced")

    async def abort(self, *, operator: str, number: int, request: str) -> Result[dict, Mishap]:
        return await self._roll(AbortBundle(request, operator, number), operator, "bundle aborted")

    async def drain(self, *, operator: str, stall: str, drain: bool, request: str) -> Result[dict, Mishap]:
        return await self._roll(
            DrainServer(request, operator, stall, drain), operator, "server drained" if drain else "server undrained"
        )

    async def change_operator(self, *, operator: str, name: str, digest: str, request: str) -> Result[dict, Mishap]:
        """One operator's half; it has no effect before a second person signs it."""
        command = ChangeOperator(request, operator, name, digest)
        return await self._write_told(command, operator, "operator change proposed")

    async def sign_operator(self, *, operator: str, name: str, change: str, request: str) -> Result[dict, Mishap]:
        """Every call's token is looked up by a confirmed read, so what is committed is in force everywhere."""
        return await self._write_told(SignOperator(request, operator, name, change), operator, "operator change signed")

    async def drop_operator(self, *, operator: str, name: str, request: str) -> Result[dict, Mishap]:
        return await self._write_told(DropOperator(request, operator, name), operator, "operator change dropped")

    async def _write_told(self, command: Command, operator: str, kind: str) -> Result[dict, Mishap]:
        match await self._write(command):
            case Success(outcome):
                self.bourse.counters.happen(kind, **outcome.detail)
                return Success(outcome.detail)
            case Failure(mishap):
                self.bourse.counters.happen("operator refused", wanted=kind, mishap=str(mishap.kind), operator=operator)
                return Failure(mishap)

    async def _roll(self, command: Command, operator: str, kind: str) -> Result[dict, Mishap]:
        bourse = self.bourse
        match await self._write(command):
            case Failure(mishap):
                bourse.counters.happen("operator refused", wanted=kind, mishap=str(mishap.kind), operator=operator)
                return Failure(mishap)
            case Success(outcome):
                committed = bourse.runtime.now()
        bourse.counters.happen(kind, operator=operator, **outcome.detail)
        await bourse.refresh(within=milliseconds(1200))
        revision = outcome.detail["offset"]
        standing = await bourse.await_uptake(
            revision=revision, stalls=lambda: self._concerned(outcome.detail), committed=committed
        )
        spent = round((bourse.runtime.now() - committed).total_seconds(), 3)
        bourse.counters.gauge("acceptance.seconds", spent)
        refused = sorted(stall for stall, state in standing.items() if state.startswith("refused"))
        answer = {
            "accepted": not refused,
            "operator": operator,
            **outcome.detail,
            "revision": revision,
            "machines": standing,
            "seconds": spent,
        }
        if refused:
            answer["refused"] = Mishap(
                MishapKind.BUNDLE_REFUSED,
                f"{', '.join(refused)} refused it.",
                "Abort the roll-out, or replace those machines' release, then advance.",
                "number",
            ).describe()
        bourse.counters.happen(
            "in force" if not refused else "stage refused", revision=revision, seconds=spent, what=kind
        )
        return Success(answer)

    def _concerned(self, detail: dict) -> list[str]:
        """The stalls that must act on the change: all of them, or those of the stages reached so far."""
        stages: list[Stage] | None = None
        if "stage" in detail and (item := self.bourse.relay.copy.items.get(f"bundle:{detail['number']}")):
            _, _, text = msgspec.msgpack.decode(item[1])
            stages = read_bundle(text).unwrap().rollout()[: detail["stage"]]
        return sorted(
            stall.node
            for stall in self.bourse.stalls_that_may_act()
            if stages is None or any(stage.holds(stall=stall.node, zone=stall.zone) for stage in stages)
        )
