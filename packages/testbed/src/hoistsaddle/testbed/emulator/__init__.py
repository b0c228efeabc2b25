"""Emulator of the users' platform: plays whole days in simulated time and checks their histories."""
