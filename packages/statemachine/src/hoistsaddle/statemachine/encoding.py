"""Encodes commands and outcomes for the log, with an explicit tag and explicit field names for each command.

A log record holds a MessagePack array of a command's tag and a map of its fields by their encoded names. Tags and
encoded names are stored on disk and exchanged between releases, so they never change; the Python names of classes and
fields may. Fields are encoded in the order in which the command declares them. A newer release may add fields with
defaults at the end.
"""

from typing import Any, NamedTuple

import msgspec

from hoistsaddle.statemachine.commands import (
    AbortBundle,
    AcquireSingletonRole,
    AddVoter,
    AdvanceBundle,
    ClaimKey,
    Command,
    CompleteKey,
    DrainServer,
    LeaderChange,
    Outcome,
    PatchItems,
    ProposeOperatorChange,
    Purge,
    RaiseLevel,
    RegisterNode,
    RegisterServer,
    ReleaseKey,
    RemoveVoter,
    ReplaceVoter,
    SignBundle,
    SignOperatorChange,
    SubmitBundle,
    Tick,
    UpdateVoter,
    WithdrawOperatorChange,
)

LEADER_CHANGE_TAG = "LeaderNote"
TICK_TAG = "Tick"
UPDATE_VOTER_TAG = "SwapVoter"
ADD_VOTER_TAG = "AddVoter"
REMOVE_VOTER_TAG = "DropVoter"
REPLACE_VOTER_TAG = "ReplaceVoter"
PATCH_ITEMS_TAG = "PatchItems"
SUBMIT_BUNDLE_TAG = "SubmitBundle"
SIGN_BUNDLE_TAG = "SignBundle"
ADVANCE_BUNDLE_TAG = "AdvanceBundle"
ABORT_BUNDLE_TAG = "AbortBundle"
REGISTER_SERVER_TAG = "NoteServer"
DRAIN_SERVER_TAG = "DrainServer"
REGISTER_NODE_TAG = "NoteNode"
ACQUIRE_SINGLETON_ROLE_TAG = "TakeDuty"
CLAIM_KEY_TAG = "ClaimHold"
COMPLETE_KEY_TAG = "SettleHold"
RELEASE_KEY_TAG = "ReleaseHold"
RAISE_LEVEL_TAG = "RaiseLevel"
PURGE_TAG = "Purge"
PROPOSE_OPERATOR_CHANGE_TAG = "ChangeOperator"
SIGN_OPERATOR_CHANGE_TAG = "SignOperator"
WITHDRAW_OPERATOR_CHANGE_TAG = "DropOperator"


class CommandEncoding(NamedTuple):
    """The tag of a command and the encoded names of its fields, in the order of the command's fields."""

    tag: str
    fields: tuple[str, ...]


class _CommandDecoding(NamedTuple):
    """The command class of a tag, and the command's field for each encoded name."""

    command: Any
    fields: dict[str, str]


ENCODINGS: dict[type, CommandEncoding] = {
    LeaderChange: CommandEncoding(LEADER_CHANGE_TAG, ("leader",)),
    Tick: CommandEncoding(TICK_TAG, ("leader",)),
    UpdateVoter: CommandEncoding(UPDATE_VOTER_TAG, ("replica", "old", "new")),
    AddVoter: CommandEncoding(ADD_VOTER_TAG, ("replica", "incarnation")),
    RemoveVoter: CommandEncoding(REMOVE_VOTER_TAG, ("replica", "incarnation")),
    ReplaceVoter: CommandEncoding(REPLACE_VOTER_TAG, ("replica", "incarnation", "successor", "successor_incarnation")),
    PatchItems: CommandEncoding(PATCH_ITEMS_TAG, ("request", "author", "signer", "patch", "span", "seen")),
    SubmitBundle: CommandEncoding(SUBMIT_BUNDLE_TAG, ("request", "author", "text")),
    SignBundle: CommandEncoding(SIGN_BUNDLE_TAG, ("request", "signer", "number", "digest")),
    AdvanceBundle: CommandEncoding(ADVANCE_BUNDLE_TAG, ("request", "operator", "number", "from_stage")),
    AbortBundle: CommandEncoding(ABORT_BUNDLE_TAG, ("request", "operator", "number")),
    RegisterServer: CommandEncoding(
        REGISTER_SERVER_TAG,
        (
            "stall",
            "service",
            "instance",
            "address",
            "zone",
            "state",
            "serial",
            "incarnation",
            "duty_epoch",
            "operator",
            "seen",
        ),
    ),
    DrainServer: CommandEncoding(DRAIN_SERVER_TAG, ("request", "operator", "stall", "drain")),
    RegisterNode: CommandEncoding(
        REGISTER_NODE_TAG,
        ("node", "kind", "address", "zone", "incarnation", "state", "duty_epoch", "seen", "level"),
    ),
    AcquireSingletonRole: CommandEncoding(ACQUIRE_SINGLETON_ROLE_TAG, ("duty", "node", "epoch")),
    ClaimKey: CommandEncoding(
        CLAIM_KEY_TAG,
        ("scope", "claim", "stall", "body_digest", "bucket", "by", "who", "entry", "span", "after"),
    ),
    CompleteKey: CommandEncoding(COMPLETE_KEY_TAG, ("scope", "claim", "status", "headers", "body", "kept")),
    ReleaseKey: CommandEncoding(RELEASE_KEY_TAG, ("scope", "claim")),
    RaiseLevel: CommandEncoding(RAISE_LEVEL_TAG, ("level",)),
    Purge: CommandEncoding(PURGE_TAG, ("duty_epoch",)),
    ProposeOperatorChange: CommandEncoding(PROPOSE_OPERATOR_CHANGE_TAG, ("request", "operator", "name", "digest")),
    SignOperatorChange: CommandEncoding(SIGN_OPERATOR_CHANGE_TAG, ("request", "signer", "name", "change")),
    WithdrawOperatorChange: CommandEncoding(WITHDRAW_OPERATOR_CHANGE_TAG, ("request", "operator", "name")),
}
# The command class of each tag.
COMMANDS: dict[str, Any] = {encoding.tag: command for command, encoding in ENCODINGS.items()}
_DECODINGS = {
    encoding.tag: _CommandDecoding(command, dict(zip(encoding.fields, COMMANDS[encoding.tag]._fields, strict=True)))
    for command, encoding in ENCODINGS.items()
}
# The position of the tag's text in a packed command, and the bits of the preceding byte that hold its length.
_TAG_OFFSET = 2
_SHORT_STRING_LENGTH_MASK = 0b11111
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder()


def tag_of(command: Command) -> str:
    """Returns the tag of a command; counters and messages use it as the command's name."""
    return ENCODINGS[type(command)].tag


def tag_in(payload: bytes) -> str:
    """Reads the tag of a packed command without unpacking the rest; empty if there is none."""
    if len(payload) < _TAG_OFFSET:
        return ""
    # An array of two elements, the first a string of under 32 bytes: one byte marks the array, the next the string.
    end = _TAG_OFFSET + (payload[_TAG_OFFSET - 1] & _SHORT_STRING_LENGTH_MASK)
    return payload[_TAG_OFFSET:end].decode(errors="replace")


def pack_command(command: Command) -> bytes:
    """Packs a command into the payload of a log record."""
    tag, fields = ENCODINGS[type(command)]
    # The lengths are equal, as checked for the decodings above; strict=True would cost a sixth of this call.
    return _encoder.encode((tag, dict(zip(fields, command))))  # noqa: B905


def unpack_command(payload: bytes) -> Command | None:
    """Unpacks the command of a record's payload; fields that a newer release added are dropped.

    Returns:
        The command, or None if its tag is unknown, as for a command of a newer release. A replica that skipped it would
        diverge from the others, so it must stop.

    Raises:
        msgspec.DecodeError: the payload is no MessagePack.
    """
    tag, encoded_fields = _decoder.decode(payload)
    decoding = _DECODINGS.get(tag)
    if decoding is None:
        return None
    command, fields = decoding
    return command(**{fields[name]: value for name, value in encoded_fields.items() if name in fields})


def pack_outcome(outcome: Outcome) -> bytes:
    """Packs an outcome, by position, for the answer to the process that proposed the command."""
    return _encoder.encode(outcome)


def unpack_outcome(data: bytes) -> Outcome:
    """Unpacks an outcome that pack_outcome packed."""
    return Outcome(*_decoder.decode(data))
