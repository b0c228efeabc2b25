"""The sidecar: the proxy under items, beside each server."""
