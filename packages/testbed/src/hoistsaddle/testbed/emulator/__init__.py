"""Emulator of the users' platform: whole days of it in simulated time, and checks of what happened on them."""
