"""SWIM failure detection among the members, and the tree that distributes configuration updates to them."""
