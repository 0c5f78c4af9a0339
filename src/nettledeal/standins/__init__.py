"""Stand-ins for everything outside the serving system, on loopback: platform, backends, clients, machines.

The demonstration (`deploy/show-system`) and the tests of whole systems use them. Engine timings are invented:
measurements with these stand-ins don't predict the behaviour of a real engine.
"""
