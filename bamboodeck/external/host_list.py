"""Read the platform's list of live and leaving hosts.

The list lags behind the actual state of the hosts.
"""

import enum
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from bamboodeck.http.client import HttpClient
from bamboodeck.http.messages import Address, HttpCall, HttpOutcome
from bamboodeck.external.replies import BadReplyError, read_payload

DEFAULT_TIMEOUT_S = 2.0


@enum.unique
class HostRole(enum.Enum):
    """List what can run on a host."""

    ENTRY = 'entry'
    ENGINE = 'engine'
    SERVICE = 'service'


@enum.unique
class HostState(enum.Enum):
    """List the states of a host; a leaving host takes no new work."""

    LIVE = 'live'
    LEAVING = 'leaving'


@dataclass(frozen=True, slots=True)
class Host:
    """Describe a host in the list."""

    name: str
    address: str
    zone: str
    role: HostRole
    state: HostState


@dataclass(frozen=True, slots=True)
class HostsRead:
    """Reply with the list at a revision."""

    revision: int
    hosts: tuple[Host, ...]


@dataclass(frozen=True, slots=True)
class HostListUnavailable:
    """Reply that the list could not be read."""

    reason: str


HostListReply = HostsRead | HostListUnavailable


class HostListPort(Protocol):
    """Read the host list without blocking."""

    def read(self, on_reply: Callable[[HostListReply], None]) -> None:
        """Request the list; the callback gets exactly one reply."""


class HttpHostList:
    """Read the host list over HTTP."""

    def __init__(
        self,
        client: HttpClient,
        address: Address,
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> None:
        """Keep the client and build the call."""
        self._client = client
        self._call = HttpCall(address, 'GET', '/hosts', timeout_s=timeout_s)

    def read(self, on_reply: Callable[[HostListReply], None]) -> None:
        """Request the list; the callback gets exactly one reply."""
        self._client.send(
            self._call,
            lambda outcome: on_reply(_read_hosts(outcome)),
        )


def _read_hosts(outcome: HttpOutcome) -> HostListReply:
    try:
        return read_payload(outcome, HostsRead)
    except BadReplyError as error:
        return HostListUnavailable(str(error))
