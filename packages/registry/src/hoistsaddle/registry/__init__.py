"""The registry, which answers calls of operators and nodes, and the controller, which runs it with a store."""
