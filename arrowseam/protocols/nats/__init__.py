"""The NATS client protocol: messages, settings, framing, client sessions, the server that accepts clients."""
