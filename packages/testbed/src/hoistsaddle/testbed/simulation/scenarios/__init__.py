"""The scenarios of simulated deployments, with one module per family."""
