"""The names of the messages in operators' counters.

A counter keeps its name when a message class is renamed, since operators' tools rely on it.
"""

from hoistsaddle.rpc import messages

_COUNTER_NAMES: dict[type, str] = {
    messages.FetchSnapshotCall: "PullCall",
    messages.VoteCall: "BallotCall",
    messages.BeginEpochCall: "LeadCall",
    messages.EndEpochCall: "ResignCall",
    messages.BootstrapCall: "FoundCall",
    messages.StatusCall: "LookCall",
    messages.RaiseLevelCall: "RaiseCall",
    messages.AppliedVersionsCall: "UptakeCall",
    messages.HealthCall: "VitalsCall",
    messages.IndirectProbeCall: "ProbeForCall",
    messages.BundleForwardCall: "PassCall",
    messages.ForwardCall: "DealCall",
    messages.ClaimQueryCall: "RecallCall",
    messages.PingCall: "PulseCall",
}


def counted_name(message: tuple) -> str:
    """The name by which counters list messages of this class."""
    kind = type(message)
    return _COUNTER_NAMES.get(kind, kind.__name__)
