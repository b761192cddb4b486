"""Clusters under faults, simulated and of real processes, and the checks on them. No proxy imports this."""
