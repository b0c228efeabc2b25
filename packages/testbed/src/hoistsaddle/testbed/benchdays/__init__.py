"""Generates additional days for the users' bench from a seed, in the format of the day tables of a site file."""
