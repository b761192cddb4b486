"""The path of a request: attempts, established connections, migration and graceful shutdown."""
