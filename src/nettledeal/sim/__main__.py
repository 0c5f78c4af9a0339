import sys

from nettledeal.sim.host import main

sys.exit(main(sys.stdin, sys.stdout, sys.stderr))
