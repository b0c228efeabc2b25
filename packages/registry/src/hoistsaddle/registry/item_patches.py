"""Patches of items: checked, written to the log, and awaited until this registry's proxies have applied them."""

import asyncio
import math
from collections.abc import Callable
from datetime import timedelta

import msgspec
from returns.result import Failure, Result, Success

from hoistsaddle.common.clock import milliseconds
from hoistsaddle.common.errors import MeshError, NoLeader
from hoistsaddle.common.settings import ControllerSettings
from hoistsaddle.config.item_checks import check_patch
from hoistsaddle.config.items import Patch, pack_patch
from hoistsaddle.registry.node import Registry
from hoistsaddle.registry.writer import error_in
from hoistsaddle.rpc.messages import UNSET, ReadAnswer
from hoistsaddle.statemachine.commands import PatchItems

CHECK_INTERVAL = milliseconds(15)
NO_STORE_LEADS = NoLeader("No store currently leads.", remedy="Retry shortly, or call another machine.")


class ItemPatches:
    """Accepts patches of items and reports the items in force for one controller."""

    def __init__(
        self, *, registry: Registry, settings: Callable[[], ControllerSettings], log_offset: Callable[[], int]
    ) -> None:
        """Writes through `registry`.

        Args:
            registry: The controller's own registry.
            settings: Returns the controller's current settings.
            log_offset: Returns the offset up to which the local replica has applied the log.
        """
        self.registry = registry
        self.settings = settings
        self.log_offset = log_offset
        self.request_count = 0

    async def submit(self, patch: Patch) -> Result[dict, MeshError]:
        """Puts a patch in force at once under the standing sign-off; repeats are recognised by the items' revisions.

        Returns:
            The details of the outcome, with the proxies that have not applied the patch in time under "waits_for"; or
            the error that says why the patch is refused or not known to be accepted.
        """
        # Checked before it is written to the log; the state machine checks again, as the items in force may change.
        if isinstance(checked := check_patch(patch), Failure):
            self._record_refusal(checked.failure())
            return checked
        command = self._command_of(patch)
        within = timedelta(seconds=self.settings().write_seconds)
        match await self.registry.writer.write(command, within=within):
            case Failure(error):
                return Failure(error)
            case Success(outcome):
                pass
        if outcome.error:
            self.registry.counters.add(f"patches.{outcome.error}")
            self._record_refusal(error_in(outcome))
            return Failure(error_in(outcome))
        if not outcome.detail["number"]:
            self.registry.counters.add("patches.confirmed again")
        else:
            self.registry.counters.record_event(
                "bundle patched",
                number=outcome.detail["number"],
                items=len(outcome.detail["changed"]),
                author=command.author,
                signer=command.signer,
            )
        waits_for = await self._await_applied(outcome.detail["offset"])
        return Success({**outcome.detail, "waits_for": waits_for})

    def _record_refusal(self, error: MeshError) -> None:
        self.registry.counters.record_event("patch refused", mishap=str(error.kind), field=error.field)

    def _command_of(self, patch: Patch) -> PatchItems:
        settings = self.settings()
        self.request_count += 1
        return PatchItems(
            f"{self.registry.node}.{self.registry.incarnation}.{self.request_count}",
            settings.desk,
            settings.standing_sign_off,
            pack_patch(patch),
            resend_seconds=math.ceil(settings.resend_seconds),
            # Everything that the sender can know of has been logged by this offset.
            seen_offset=self.log_offset(),
        )

    async def _await_applied(self, revision: int) -> list[str]:
        """Waits until every live proxy of this registry has applied the revision, or the time is up.

        Returns:
            The proxies that have not reported it; they apply it with their next updates.
        """
        registry = self.registry
        deadline = registry.runtime.now() + timedelta(seconds=self.settings().applied_version_seconds)
        while True:
            now = registry.runtime.now()
            # A registry receives reports from its own part of the distribution tree only.
            reports = registry.relay.known_applied_versions(now=now)
            applied = {report.node for report in reports if report.revision >= revision}
            missing = sorted({report.node for report in reports} - applied)
            if now >= deadline or not missing:
                return missing
            await asyncio.sleep(CHECK_INTERVAL.total_seconds())

    async def read(self, *, within: timedelta) -> Result[list[tuple[str, str, int, bytes]], MeshError]:
        """Every item in force as kind, name, revision and the operator's own text, confirmed by the leader."""
        match await self.registry.writer.read(part="items", known_revision=UNSET, within=within):
            case Success(ReadAnswer(content=content)):
                return Success([tuple(each) for each in msgspec.msgpack.decode(content)])
        return Failure(NO_STORE_LEADS)

    async def report(self, *, within: timedelta) -> Result[dict, MeshError]:
        """The items in force, the newest patches and the signers, as the operators' interface shows them."""
        match await self.registry.writer.read(part="standing", known_revision=UNSET, within=within):
            case Success(ReadAnswer(content=content)):
                settings = self.settings()
                signers = {"desk": settings.desk, "standing_sign_off": settings.standing_sign_off}
                return Success({**signers, **msgspec.json.decode(content)})
        return Failure(NO_STORE_LEADS)
