"""Test beds: fleets on real processes, the simulator, the model checks, the emulator of the users' platform."""
