"""Cluster membership: running proxies, cordoned endpoints, and the number of proxies that share a budget.

``view.py`` holds one proxy's view of the cluster, a state machine without I/O with one module for each of its
components; ``runtime.py`` runs it on the event loop.
"""
