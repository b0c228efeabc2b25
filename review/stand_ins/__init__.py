"""Stand-ins of the second review: platform, servers, clients, operator and network, with the standard library only."""
