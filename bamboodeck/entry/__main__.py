"""Run the entry process."""

import sys

from bamboodeck.entry.program import run

main = run

if __name__ == '__main__':
    sys.exit(main())
