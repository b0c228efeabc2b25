"""What every package uses: errors, counters, time, settings and the reading of outside data."""
