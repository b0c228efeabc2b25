"""Soaks: real sidecars and controllers on loopback, with clients that keep connections, signals, restarts, changes."""
