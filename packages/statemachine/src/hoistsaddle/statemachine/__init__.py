"""The replicated state machine: what the records of the log make of the mesh's configuration and its keys."""
