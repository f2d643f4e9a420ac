"""Stand-in for the host list service."""

import configparser
from dataclasses import dataclass, replace
from pathlib import Path

from bamboodeck.errors import InputError
from bamboodeck.external.host_list import (
    Host,
    HostRole,
    HostsRead,
    HostState,
)
from bamboodeck.fakes.faults import (
    Fault,
    FaultOrder,
    FaultOrderError,
    InstantFault,
    Text,
)
from bamboodeck.fakes.stand_in import StandIn, respond_json
from bamboodeck.http.messages import (
    Address,
    AddressError,
    ApiRequest,
    parse_address,
)
from bamboodeck.http.responder import Responder
from bamboodeck.logs import EventLog
from bamboodeck.loop.program import Loop

SECTION_PREFIX = 'host '
_ALLOWED_KEYS = frozenset(('address', 'zone', 'role', 'state'))
_NEEDED_KEYS = ('address', 'zone', 'role')


class HostFileError(InputError):
    """Report an unreadable or malformed host file."""


@dataclass(frozen=True)
class SetState(InstantFault):
    """Change the state of a host."""

    name: Text
    state: HostState


@dataclass(frozen=True)
class RemoveHost(InstantFault):
    """Remove a host from the list."""

    name: Text


HOST_LIST_FAULTS: tuple[type[Fault], ...] = (SetState, RemoveHost)


class HostList:
    """Serve the host list with a lag."""

    def __init__(
        self,
        loop: Loop,
        address: Address,
        hosts: tuple[Host, ...],
        lag_s: float,
        log: EventLog,
    ) -> None:
        """Listen on an address."""
        self.stand_in = StandIn(
            loop,
            address,
            'host-list',
            HOST_LIST_FAULTS,
            log,
        )
        self.shown = HostsRead(1, hosts)
        self._newest = self.shown
        self._lag_s = lag_s
        self._scheduler = loop.scheduler
        self.stand_in.check_order = self._check_order
        self.stand_in.on_order = self._handle_order
        self.stand_in.add_route('GET', '/hosts', self._show)

    def _check_order(self, order: FaultOrder) -> None:
        if not isinstance(order, (SetState, RemoveHost)):
            return
        if order.name not in {host.name for host in self._newest.hosts}:
            raise FaultOrderError(f'host "{order.name}" is not listed')

    def _handle_order(self, order: FaultOrder) -> None:
        match order:
            case SetState(name=name, state=state):
                self._change(
                    tuple(
                        replace(host, state=state)
                        if host.name == name
                        else host
                        for host in self._newest.hosts
                    ),
                )
            case RemoveHost(name=name):
                self._change(
                    tuple(
                        host for host in self._newest.hosts if host.name != name
                    ),
                )

    def _change(self, hosts: tuple[Host, ...]) -> None:
        changed = HostsRead(self._newest.revision + 1, hosts)
        self._newest = changed
        self._scheduler.call_after(self._lag_s, lambda: self._publish(changed))

    def _publish(self, changed: HostsRead) -> None:
        self.shown = changed

    def _show(self, request: ApiRequest, responder: Responder) -> None:
        respond_json(responder, 200, self.shown)


def read_host_file(path: Path) -> tuple[Host, ...]:
    """Read sections `[host NAME]`; raise `HostFileError`."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(path.read_text(), str(path))
    except (OSError, ValueError, configparser.Error) as error:
        raise HostFileError(f'{path}: {error}')
    return tuple(
        _read_host(path, section, parser[section])
        for section in parser.sections()
    )


def _read_host(
    path: Path,
    section: str,
    fields: configparser.SectionProxy,
) -> Host:
    location = f'{path}: [{section}]'
    if not section.startswith(SECTION_PREFIX):
        raise HostFileError(f'{location} is not of the form [host NAME]')
    unknown = ', '.join(sorted(fields.keys() - _ALLOWED_KEYS))
    if unknown:
        raise HostFileError(f'{location} unknown key: {unknown}')
    missing = ', '.join(key for key in _NEEDED_KEYS if key not in fields)
    if missing:
        raise HostFileError(f'{location} missing key: {missing}')
    try:
        return Host(
            section.removeprefix(SECTION_PREFIX).strip(),
            str(parse_address(fields['address'])),
            fields['zone'],
            HostRole(fields['role']),
            HostState(fields.get('state', HostState.LIVE.value)),
        )
    except (AddressError, ValueError) as error:
        raise HostFileError(f'{location} {error}')
