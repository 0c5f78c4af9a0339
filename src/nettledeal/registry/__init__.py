"""The registry: resolves service names to the data-plane members that clients should connect to."""
