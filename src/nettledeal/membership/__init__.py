"""Group membership of the agents: SWIM with the Lifeguard extensions, as in the published papers.

`view` merges updates, `piggyback` queues them for dissemination, `member` is the protocol, and `stable_view`
derives the fleet size that agents act on. All of these are free of I/O: time, randomness and messages are
passed in, so the same code runs on sockets, in seeded simulations and in tests. `host` runs a member on UDP
and TCP sockets at an address of its own. Nothing here depends on requests, backends or routing, and an agent
without the setting `membership` loads none of it.
"""
