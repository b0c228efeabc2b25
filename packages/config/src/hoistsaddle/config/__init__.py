"""Bundles and items: their schema, and the checks they have to pass."""
