"""The registry: the program that takes operators' and nodes' calls, and the controller that runs it with a store."""
