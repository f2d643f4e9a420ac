"""Run the controller process."""

import sys

from bamboodeck.controller.program import run

main = run

if __name__ == '__main__':
    sys.exit(main())
