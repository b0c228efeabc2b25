"""Typed errors. Every kind is told together with what to do about it."""

from enum import StrEnum
from typing import NamedTuple


class ErrorKind(StrEnum):
    PARAMS = "params"
    BUNDLE_BROKEN = "bundle-broken"
    BUNDLE_STALE = "bundle-stale"
    BUNDLE_DUPLICATE = "bundle-duplicate"
    BUNDLE_CONFLICT = "bundle-conflict"
    BUNDLE_WRONG_BASE = "bundle-wrong-base"
    BUNDLE_SELF_SIGNED = "bundle-self-signed"
    BUNDLE_UNKNOWN = "bundle-unknown"
    BUNDLE_WRONG_PHASE = "bundle-wrong-phase"
    BUNDLE_REFUSED = "bundle-refused"
    ITEM_BROKEN = "item-broken"
    ITEM_CONFLICT = "item-conflict"
    ORDER_UNSURE = "order-unsure"
    OPERATOR_UNKNOWN = "operator-unknown"
    OPERATOR_CONFLICT = "operator-conflict"
    OPERATOR_LAST = "operator-last"
    OPERATOR_SELF_SIGNED = "operator-self-signed"
    REQUEST_REUSED = "request-reused"
    RELEASE_LEVEL = "release-level"
    RELEASE_OLD = "release-old"
    COPY_DAMAGED = "copy-damaged"
    DUTY_EPOCH_OLD = "duty-epoch-old"
    NOT_LEADER = "not-leader"
    NO_LEADER = "no-leader"
    NOT_FOUNDED = "not-founded"
    ALREADY_FOUNDED = "already-founded"
    WRONG_MESH = "wrong-mesh"
    UNSURE = "unsure"
    UNREACHABLE = "unreachable"
    SILENT = "silent"
    CHECKPOINT_TORN = "checkpoint-torn"
    DISK = "disk"
    OTHER_RELEASE = "other-release"
    LEASE_LAPSED = "lease-lapsed"
    NOT_ALLOWED = "not-allowed"
    NO_ENTRY = "no-entry"
    NO_SERVER = "no-server"
    WRONG_INSTANCE = "wrong-instance"
    WINDING_DOWN = "winding-down"
    SERVER_FULL = "server-full"
    NO_CONFIGURATION = "no-setup"
    QUEUE_FULL = "backlog-full"
    BUDGET_SPENT = "budget-spent"
    FURTHER_SENDS_SPENT = "further-sends-spent"
    KEY_MISSING = "key-missing"
    KEY_OTHER_BODY = "key-other-body"
    KEY_HELD = "key-held"
    KEY_CLIENT_UNSURE = "key-visitor-unsure"
    CLIENT_MISSING = "visitor-missing"
    CALLER_UNNAMED = "caller-unnamed"
    BODY_TOO_LARGE = "body-too-large"
    REQUEST_BROKEN = "request-broken"
    ANSWER_BROKEN = "answer-broken"
    ANSWER_TOO_LARGE = "answer-too-large"
    ALREADY_SEEN = "already-seen"
    FROZEN = "frozen"


class MeshError(NamedTuple):
    kind: str
    message: str
    remedy: str
    field: str = ""

    def describe(self) -> dict:
        return {"kind": str(self.kind), "message": self.message, "remedy": self.remedy, "field": self.field}

    def __str__(self) -> str:
        place = f" (field {self.field})" if self.field else ""
        return f"{self.kind}{place}: {self.message} Remedy: {self.remedy}"


def field_in(problem: Exception) -> str:
    """The field that msgspec's message is about."""
    message = str(problem)
    if "`$." in message:
        return message.rpartition("`$.")[2].rstrip("`")
    return message.partition("`")[2].partition("`")[0]
