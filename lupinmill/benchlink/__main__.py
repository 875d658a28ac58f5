import sys

from lupinmill.benchlink.host import main

sys.exit(main(sys.stdin, sys.stdout, sys.stderr))
