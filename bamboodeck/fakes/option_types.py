"""Click parameter types of the stand-in commands."""

from typing import Any

import click

from bamboodeck.fakes.links import Route
from bamboodeck.fakes.rating import ANY_CLASS, Quality
from bamboodeck.http.messages import Address, AddressError, parse_address


class AddressType(click.ParamType):
    """Parse an address of the form IP:PORT."""

    name = 'IP:PORT'

    def convert(self, value: Any, param: Any, ctx: Any) -> Address:
        """Return the address or fail with exit status 2."""
        try:
            return parse_address(str(value))
        except AddressError as error:
            self.fail(str(error), param, ctx)


class QualityType(click.ParamType):
    """Parse a mean score of the form VERSION[:CLASS]=SCORE."""

    name = 'VERSION[:CLASS]=SCORE'

    def convert(self, value: Any, param: Any, ctx: Any) -> Quality:
        """Return the quality or fail with exit status 2."""
        subject, _, score = str(value).rpartition('=')
        version, _, request_class = subject.partition(':')
        try:
            number = float(score)
        except ValueError:
            number = -1
        if not version or not 0 <= number <= 1:
            self.fail(f'"{value}" is not of the form {self.name}', param, ctx)
        return Quality(version, request_class or ANY_CLASS, number)


class RouteType(click.ParamType):
    """Parse a route of the form NAME:LISTEN=TARGET."""

    name = 'NAME:IP:PORT=IP:PORT'

    def convert(self, value: Any, param: Any, ctx: Any) -> Route:
        """Return the route or fail with exit status 2."""
        source, _, target = str(value).partition('=')
        name, _, listen = source.partition(':')
        try:
            return Route(name, parse_address(listen), parse_address(target))
        except AddressError as error:
            self.fail(str(error), param, ctx)


ADDRESS = AddressType()
ROUTE = RouteType()
QUALITY = QualityType()
