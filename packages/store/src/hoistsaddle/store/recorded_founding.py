"""The mesh bootstrap recorded on a replica's disk, while no later record is known to be committed."""

from hoistsaddle.raft.core import RaftCore
from hoistsaddle.rpc.messages import BootstrapCall


def recorded_founding(core: RaftCore) -> BootstrapCall | None:
    """Returns the bootstrap on this replica's disk if no later record is known to be committed, else None.

    Until then other voters may lack the bootstrap. Sending it again is safe: a voter accepts it only if it names the
    voter's incarnation and the voter's disk holds no mesh.
    """
    if not core.mesh or not core.complete or core.state.offset:
        return None
    return BootstrapCall(core.mesh, dict(core.state.voters), dict(core.state.operators), core.state.level)
