"""Drains and releases within disruption budgets, agreed through Raft; ``docs/design/agreed-releases.md``."""
