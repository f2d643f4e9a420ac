"""Entry point of the stand-in command line."""

from bamboodeck.fakes.commands import group


def main() -> None:
    """Run the command line."""
    group(prog_name='bamboodeck-fakes')


if __name__ == '__main__':
    main()
