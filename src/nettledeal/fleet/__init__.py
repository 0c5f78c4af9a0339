"""A fleet of real processes under faults of our own, to see and measure what many agents do together.

`experiment` reads what is asked, `script` decides what breaks when, `server` is a stand-in backend as a
machine without sockets, `links` what happens to what is sent; these are pure, so the same may be played
without processes. `backends`, `roster`, `clients` and `switch` host them on loopback sockets, each a
process; `rig` starts, breaks and ends all of it. `checker` counts broken rules and `measures` tells how
even the load was, both from what clients and stand-ins wrote down, and neither knows the decision module.
An agent in it is the very program that runs beside a caller; nothing here is loaded by it.
"""
