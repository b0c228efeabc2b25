"""The proxy under bundles, and the code that it shares with the sidecar."""
