"""The store program: serves one replica of the log at its mesh address."""
