"""Crash check of a replica's data folder: what a loss of power may leave at any point, and whether that boots."""
