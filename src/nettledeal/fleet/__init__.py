"""Experiments with a fleet of real agent processes under injected faults.

`experiment` reads the experiment file, `fault_schedule` derives the faults, `server_model` models a backend
and `links` the conditions of network links; these are deterministic and start no processes. `backends`,
`roster`, `clients` and `switch` are child processes on loopback sockets; `rig` starts and stops all of them
and `fault_injection` applies the faults. `rule_checker` finds broken rules and `load_metrics` measures load
balance, both from the records of clients and backends and independently of the decision module. Agents are
the real program and load nothing from this package.
"""
