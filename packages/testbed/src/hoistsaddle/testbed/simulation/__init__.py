"""Whole deployments in simulated time: runs with the same seed are identical."""
