"""Networking: the event loop, connections, listeners, and the forwarding of bytes."""
