"""Adapter that connects balancers to the simulator: ``python -m arrowseam.simulator``.

Reads batches of events from standard input and writes one reply per batch to standard output. ``codec`` has
the frames and records, ``instances`` the balancers. No decisions are made here.
"""
