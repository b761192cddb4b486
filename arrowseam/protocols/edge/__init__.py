"""The platform's line protocol: messages, client sessions, the server that accepts clients, health checks."""
