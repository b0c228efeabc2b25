"""Failure detection among the members, and the tree that carries configuration updates to them."""
