"""The founding that a replica's disk holds while nothing after it is known to be committed."""

from hoistsaddle.raft.core import RaftCore
from hoistsaddle.rpc.messages import BootstrapCall


def recorded_founding(core: RaftCore) -> BootstrapCall | None:
    """The founding on this replica's disk, if nothing after it is known to be committed: others may lack it.

    Telling it again is safe: a voter takes it only under the incarnation that it names, with no mesh on its disk.
    """
    if not core.mesh or not core.complete or core.state.offset:
        return None
    return BootstrapCall(core.mesh, dict(core.state.voters), dict(core.state.operators), core.state.level)
