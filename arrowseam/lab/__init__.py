"""The laboratory: fleets under faults, simulated and real, and a referee. Nothing of it runs in a proxy."""
