"""Define the ports that a platform adapter implements for the gateway."""

from collections.abc import Callable, Iterable
from typing import Protocol

import msgspec

from bamboodeck.gateway.model import (
    CallerRequest,
    EngineCall,
    EngineEntry,
    EngineHead,
    GatewayConfiguration,
    RolloutOrder,
    RolloutStatus,
)
from bamboodeck.http.messages import Address, Header, HttpCall, ReplyHead
from bamboodeck.http.request_parser import ParsedRequest


class ExchangeCodec(Protocol):
    """Translate HTTP messages of callers and engines."""

    def decode_request(
        self,
        parsed: ParsedRequest,
        received_s: float,
    ) -> CallerRequest:
        """Decode a caller's request."""

    def build_engine_call(
        self,
        call: EngineCall,
        connect_timeout_s: float,
    ) -> HttpCall:
        """Encode a request as a call to one engine."""

    def decode_engine_head(self, head: ReplyHead) -> EngineHead:
        """Decode the head of an engine's answer."""

    def build_refusal_headers(
        self,
        request_id: str,
        retry_after_s: float | None,
    ) -> tuple[Header, ...]:
        """Build the headers of an answer by the gateway itself."""

    def is_ready_check(self, parsed: ParsedRequest) -> bool:
        """Tell whether a request is a readiness check."""


class Position(msgspec.Struct, frozen=True, order=True):
    """Name a point in the history of the store.

    A store that is restored from a copy begins a new era, in which revisions
    are given out again.
    """

    era: int = 0
    revision: int = 0


class ConfigurationListed(msgspec.Struct, frozen=True):
    """Report the latest configuration of the operators."""

    configuration: GatewayConfiguration
    revision: int


class EngineSeen(msgspec.Struct, frozen=True, tag=True):
    """Report an engine's entry."""

    entry: EngineEntry
    revision: int


class EngineUnlisted(msgspec.Struct, frozen=True, tag=True):
    """Report that an engine has no entry, or an unreadable one."""

    engine_id: str
    reason: str
    revision: int


class RolloutOrdered(msgspec.Struct, frozen=True, tag=True):
    """Report an operator's order for a roll-out."""

    order: RolloutOrder
    revision: int


class RolloutStatusListed(msgspec.Struct, frozen=True, tag=True):
    """Report the status of a service's roll-out."""

    service: str
    status: RolloutStatus
    revision: int


class RolloutStep(msgspec.Struct, frozen=True):
    """Hold the step of a roll-out that the fleet agreed on."""

    service: str
    version: str
    step: int
    # Start of the roll-out, by the clock of the host that wrote its first step.
    began_unix_s: float
    # The versions that earlier roll-outs of the service have left behind.
    withdrawn: tuple[str, ...] = ()


class RolloutStepListed(msgspec.Struct, frozen=True, tag=True):
    """Report the step that the fleet agreed on."""

    step: RolloutStep
    revision: int


class PeerListed(msgspec.Struct, frozen=True, tag=True):
    """Report the address for messages of another host of the fleet."""

    host: str
    address: Address
    zone: str
    revision: int


class PeerUnlisted(msgspec.Struct, frozen=True, tag=True):
    """Report that a host of the fleet is no longer listed."""

    host: str
    revision: int


class PartListed(msgspec.Struct, frozen=True, tag=True):
    """Report a prompt part that crashes engines."""

    part_id: str
    revision: int


class PartUnlisted(msgspec.Struct, frozen=True, tag=True):
    """Report that a prompt part is no longer known to crash engines."""

    part_id: str
    revision: int


class ZoneEvacuated(msgspec.Struct, frozen=True, tag=True):
    """Report that operators want a zone's engines to get no requests."""

    zone: str
    revision: int


class ZoneReturned(msgspec.Struct, frozen=True, tag=True):
    """Report that operators want a zone's engines to be used again."""

    zone: str
    revision: int


class Unreadable(msgspec.Struct, frozen=True):
    """Report an unreadable document."""

    key: str
    reason: str
    revision: int


# Facts that hosts also send to each other, so each has a tag.
ShareableFact = (
    EngineSeen
    | EngineUnlisted
    | RolloutOrdered
    | RolloutStatusListed
    | RolloutStepListed
    | PeerListed
    | PeerUnlisted
    | PartListed
    | PartUnlisted
    | ZoneEvacuated
    | ZoneReturned
)
Fact = ConfigurationListed | ShareableFact | Unreadable


class Snapshot(msgspec.Struct, frozen=True):
    """Hold the whole state of the store at a revision."""

    facts: tuple[Fact, ...]
    revision: int
    # Rises when the store is restored from a copy, which begins a new history.
    era: int = 0


class Update(msgspec.Struct, frozen=True):
    """Hold the changes up to a revision."""

    facts: tuple[Fact, ...]
    revision: int
    era: int = 0


class HistoryLost(msgspec.Struct, frozen=True):
    """Report that changes were missed, so a snapshot has to be read."""

    # Of the answer, if there is one.
    era: int = 0
    # Whether the store has the changes, but they are too many for an answer.
    too_large: bool = False


class RegistryFailed(msgspec.Struct, frozen=True):
    """Report that the store didn't answer."""

    reason: str


RegistryReply = Snapshot | Update | HistoryLost | RegistryFailed


class Written(msgspec.Struct, frozen=True):
    """Report that a write succeeded."""

    revision: int
    era: int = 0


class Outdated(msgspec.Struct, frozen=True):
    """Report that another host's write came first."""


class LeaseLapsed(msgspec.Struct, frozen=True):
    """Report that a host's lease has expired."""


class WriteFailed(msgspec.Struct, frozen=True):
    """Report that the store didn't answer; the write may still take effect."""

    reason: str


WriteReply = Written | Outdated | LeaseLapsed | WriteFailed
OnWritten = Callable[[WriteReply], None]


class Registry(Protocol):
    """Read and write the shared state of the fleet asynchronously."""

    def read_all(
        self,
        on_reply: Callable[[RegistryReply], None],
        *,
        stale: bool = False,
    ) -> None:
        """Read a snapshot; a `stale` read is cheap and may be seconds old."""

    def read_configuration(
        self,
        on_reply: Callable[[RegistryReply], None],
    ) -> None:
        """Read only the configuration, which may be seconds old."""

    def wait_for_changes(
        self,
        after_revision: int,
        wait_s: float,
        on_reply: Callable[[RegistryReply], None],
    ) -> None:
        """Wait up to `wait_s` seconds for changes after a revision."""

    def write_step(
        self,
        step: RolloutStep,
        replaced_revision: int,
        on_written: OnWritten,
    ) -> None:
        """Write a roll-out's step, unless another host's came first."""

    def write_status(
        self,
        service: str,
        status: RolloutStatus,
        replaced_revision: int,
        on_written: OnWritten,
    ) -> None:
        """Write a roll-out's status, unless another host's came first."""

    def list_host(
        self,
        host: str,
        zone: str,
        address: Address,
        lease_s: float,
        on_written: OnWritten,
    ) -> None:
        """List this host with a lease."""

    def renew_host(self, on_written: OnWritten) -> None:
        """Renew the lease of this host's entry."""

    def list_part(
        self,
        part_id: str,
        lease_s: float,
        on_written: OnWritten,
    ) -> None:
        """List a prompt part for a duration, unless it is listed already."""


def facts_of_kind(facts: Iterable[Fact], kind: type) -> Iterable[Fact]:
    """Yield the facts of one kind."""
    return (fact for fact in facts if isinstance(fact, kind))
