"""`python -m nettledeal` runs the agent by `EDGE_CONFIG`; with arguments it is the command line."""

import sys

if len(sys.argv) > 1:
    from nettledeal.cli import main
else:
    # Don't import the command line here: the agent's start time and memory matter.
    from nettledeal.agent import main

sys.exit(main())
