"""The decision module of nettledeal, one file per concern; `balancer.py` is its interface to the hosts."""
