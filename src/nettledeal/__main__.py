"""`python -m nettledeal` is the agent, told everything by `EDGE_CONFIG`; with words behind, the command
line.
"""

import sys

if len(sys.argv) > 1:
    from nettledeal.cli import main
else:
    # Nothing of the command line is loaded beside each caller, where the agent's start and memory count.
    from nettledeal.agent import main

sys.exit(main())
