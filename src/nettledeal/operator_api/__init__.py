"""The operator's HTTP API, and the configuration that it takes."""
