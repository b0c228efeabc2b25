"""What is done to a simulated deployment: one module for each family of scenarios."""
