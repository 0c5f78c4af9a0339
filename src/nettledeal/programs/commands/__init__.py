"""The subcommands of the command line, one module each.

A module has `add_arguments(parser)` and `run(parsed)`, which returns the exit status.
"""
