"""The replicated log: elections, replication, changes of voters, snapshots, and its disk."""
