"""Whole deployments in simulated time: each run of one seed is the same."""
