"""Estimates the costs of a cluster of any size from recorded runs: fits, and the cost table of a target.

Proxies do not import this package.
"""
