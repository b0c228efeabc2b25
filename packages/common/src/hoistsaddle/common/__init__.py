"""Shared by all packages: errors, counters, time, settings and the validation of external input."""
