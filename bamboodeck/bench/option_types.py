"""Option types of the bench command."""

import click

from bamboodeck.bench.relay.processes import WatchedProcess
from bamboodeck.http.messages import AddressError, parse_address


class AddressType(click.ParamType):
    """Parse an address of the form IP:PORT."""

    name = 'IP:PORT'

    def convert(self, value, param, ctx):  # noqa: WPS110
        """Return the parsed address, or fail with a usage error."""
        try:
            return parse_address(value)
        except AddressError as error:
            self.fail(str(error), param, ctx)


class ProcessType(click.ParamType):
    """Parse a process of the form NAME=ID."""

    name = 'NAME=ID'

    def convert(self, value, param, ctx):  # noqa: WPS110
        """Return the parsed process, or fail with a usage error."""
        name, equals, number = value.partition('=')
        if not (name and equals and number.isdecimal()):
            self.fail(f'"{value}" is not of the form NAME=ID', param, ctx)
        return WatchedProcess(name, int(number))


ADDRESS = AddressType()
PROCESS = ProcessType()
