"""The proxy under bundles, and what both proxies have in common."""
