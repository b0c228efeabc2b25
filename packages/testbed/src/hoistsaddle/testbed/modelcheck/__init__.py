"""Model checks of the raft core, of foundings and of pending requests: exhaustive exploration and random walks."""
