"""Days of our own for the users' bench: drawn by a seed, written as the day tables of a site file are."""
