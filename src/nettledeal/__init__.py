"""nettledeal: a client-side load balancer that runs as a sidecar beside each calling process."""
