"""Forecasts of the effects of a bundle, or of a change of servers and nodes; they change nothing."""
