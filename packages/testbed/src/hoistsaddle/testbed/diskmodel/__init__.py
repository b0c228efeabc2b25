"""Crash check of a replica's data folder: whether every state that a power loss can leave at any point boots."""
