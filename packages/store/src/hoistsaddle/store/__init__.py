"""The store program: one replica of the log behind its mesh address."""
