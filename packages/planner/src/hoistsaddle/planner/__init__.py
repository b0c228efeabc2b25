"""Forecasts of what a bundle, or a change of servers and nodes, would move; they change nothing."""
