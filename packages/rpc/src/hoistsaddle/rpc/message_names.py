"""The names by which operators' counters know the messages.

A counter keeps its name when a message's class gets another: those who read counters rely on it.
"""

from hoistsaddle.rpc import messages

_COUNTED_AS: dict[type, str] = {
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
    """The name of the message's class in counters."""
    kind = type(message)
    return _COUNTED_AS.get(kind, kind.__name__)
