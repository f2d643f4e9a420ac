"""Read the platform's list of live and leaving hosts, which lags."""

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
    """Tell what runs on a host."""

    ENTRY = 'entry'
    ENGINE = 'engine'
    SERVICE = 'service'


@enum.unique
class HostState(enum.Enum):
    """Tell whether a host takes new work."""

    LIVE = 'live'
    LEAVING = 'leaving'


@dataclass(frozen=True, slots=True)
class Host:
    """Describe a host of the list."""

    name: str
    address: str
    zone: str
    role: HostRole
    state: HostState


@dataclass(frozen=True, slots=True)
class HostsRead:
    """Hold the list at one of its revisions."""

    revision: int
    hosts: tuple[Host, ...]


@dataclass(frozen=True, slots=True)
class HostListUnavailable:
    """Tell that no list came."""

    reason: str


HostListReply = HostsRead | HostListUnavailable


class HostListPort(Protocol):
    """Read the host list without waiting."""

    def read(self, on_reply: Callable[[HostListReply], None]) -> None:
        """Ask for the list; the callback gets exactly one reply."""


class HttpHostList:
    """Read the host list over HTTP."""

    def __init__(
        self,
        client: HttpClient,
        address: Address,
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> None:
        """Keep where the list is served."""
        self._client = client
        self._call = HttpCall(address, 'GET', '/hosts', timeout_s=timeout_s)

    def read(self, on_reply: Callable[[HostListReply], None]) -> None:
        """Ask for the list; the callback gets exactly one reply."""
        self._client.send(
            self._call,
            lambda outcome: on_reply(_read_hosts(outcome)),
        )


def _read_hosts(outcome: HttpOutcome) -> HostListReply:
    try:
        return read_payload(outcome, HostsRead)
    except BadReplyError as error:
        return HostListUnavailable(str(error))
