"""The command line: the programs, operators' calls, and whole deployments on one machine."""
