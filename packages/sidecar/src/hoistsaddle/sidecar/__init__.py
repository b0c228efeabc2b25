"""The sidecar: the proxy beside each server, which routes requests by the configuration items."""
