"""The command line: starts the programs, calls the operators' interface and runs test deployments on one machine."""
