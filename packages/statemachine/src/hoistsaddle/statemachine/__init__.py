"""The replicated state machine: it builds the mesh's configuration and idempotency keys from the log's records."""
