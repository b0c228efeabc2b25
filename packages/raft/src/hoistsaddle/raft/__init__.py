"""The replicated log: elections, replication, voter changes, snapshots, and storage on disk."""
