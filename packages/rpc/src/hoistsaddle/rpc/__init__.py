"""RPC between the processes of a mesh: connections, framing and messages."""
