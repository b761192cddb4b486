"""Raft consensus among a few proxies: the replicated log, its messages and its storage."""
