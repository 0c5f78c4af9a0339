"""Routing: the single greenlet that calls the balancer and carries out its decisions."""
