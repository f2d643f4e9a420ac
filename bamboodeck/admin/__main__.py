"""Run the operator command line."""

import sys

from bamboodeck.admin.program import run_command


def main() -> None:
    """Run the command line and exit with its status."""
    sys.exit(run_command())


if __name__ == '__main__':
    main()
