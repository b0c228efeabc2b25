"""Scale runs: what control costs as a fleet grows, measured on real processes and on the cores alone."""
