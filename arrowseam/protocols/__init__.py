"""Wire protocols: the platform's line protocol, NATS, discovery and health."""
