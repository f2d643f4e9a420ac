"""Define what a gateway asks of the adapter to its platform."""

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
from bamboodeck.http.intake import ParsedRequest
from bamboodeck.http.messages import Address, Header, HttpCall, ReplyHead


class ExchangeCodec(Protocol):
    """Translate between callers, the gateway and engines."""

    def decode_request(
        self,
        parsed: ParsedRequest,
        received_s: float,
    ) -> CallerRequest:
        """Read a caller's request."""

    def build_engine_call(
        self,
        call: EngineCall,
        connect_timeout_s: float,
    ) -> HttpCall:
        """Write a request as a call to one engine."""

    def decode_engine_head(self, head: ReplyHead) -> EngineHead:
        """Read the head of an engine's answer."""

    def build_refusal_headers(
        self,
        request_id: str,
        retry_after_s: float | None,
    ) -> tuple[Header, ...]:
        """Write the headers of an answer that the gateway gives itself."""

    def is_ready_check(self, parsed: ParsedRequest) -> bool:
        """Tell whether a request asks if the host takes callers."""


class ConfigurationListed(msgspec.Struct, frozen=True):
    """Tell of the operators' newest configuration."""

    configuration: GatewayConfiguration
    revision: int


class EngineSeen(msgspec.Struct, frozen=True, tag=True):
    """Tell of an engine's entry."""

    entry: EngineEntry
    revision: int


class EngineUnlisted(msgspec.Struct, frozen=True, tag=True):
    """Tell that an engine has no entry, or none that can be read."""

    engine_id: str
    reason: str
    revision: int


class RolloutOrdered(msgspec.Struct, frozen=True, tag=True):
    """Tell of an operator's order for a roll-out."""

    order: RolloutOrder
    revision: int


class RolloutStatusListed(msgspec.Struct, frozen=True, tag=True):
    """Tell of the status of a service's roll-out."""

    service: str
    status: RolloutStatus
    revision: int


class RolloutStep(msgspec.Struct, frozen=True):
    """Hold how far a roll-out is, as the fleet has agreed."""

    service: str
    version: str
    step: int
    # When the roll-out began by the clock of the host that noticed it.
    began_unix_s: float


class RolloutStepListed(msgspec.Struct, frozen=True, tag=True):
    """Tell of the step that the fleet has agreed on."""

    step: RolloutStep
    revision: int


class PeerListed(msgspec.Struct, frozen=True, tag=True):
    """Tell where another host of the fleet listens for news."""

    host: str
    address: Address
    zone: str
    revision: int


class PeerUnlisted(msgspec.Struct, frozen=True, tag=True):
    """Tell that a host of the fleet is no longer listed."""

    host: str
    revision: int


class Unreadable(msgspec.Struct, frozen=True):
    """Tell of a document that can't be read."""

    key: str
    reason: str
    revision: int


# What hosts may also learn from each other; each is tagged for that.
ShareableFact = (
    EngineSeen
    | EngineUnlisted
    | RolloutOrdered
    | RolloutStatusListed
    | RolloutStepListed
    | PeerListed
    | PeerUnlisted
)
Fact = ConfigurationListed | ShareableFact | Unreadable


class Snapshot(msgspec.Struct, frozen=True):
    """Hold all that the store lists, as of a revision."""

    facts: tuple[Fact, ...]
    revision: int


class Update(msgspec.Struct, frozen=True):
    """Hold what has changed, up to a revision."""

    facts: tuple[Fact, ...]
    revision: int


class HistoryLost(msgspec.Struct, frozen=True):
    """Tell that changes were missed, so all has to be read again."""


class RegistryFailed(msgspec.Struct, frozen=True):
    """Tell that the store gave no answer."""

    reason: str


RegistryReply = Snapshot | Update | HistoryLost | RegistryFailed


class Written(msgspec.Struct, frozen=True):
    """Tell that a write was made."""

    revision: int


class Outdated(msgspec.Struct, frozen=True):
    """Tell that another host's write came first."""


class LeaseLapsed(msgspec.Struct, frozen=True):
    """Tell that a host's lease has ended."""


class WriteFailed(msgspec.Struct, frozen=True):
    """Tell that no answer came; the write may still be made."""

    reason: str


WriteReply = Written | Outdated | LeaseLapsed | WriteFailed
OnWritten = Callable[[WriteReply], None]


class Registry(Protocol):
    """Read and write what the fleet shares, without waiting."""

    def read_all(
        self,
        on_reply: Callable[[RegistryReply], None],
        *,
        stale: bool = False,
    ) -> None:
        """Read all that is listed; `stale` may be seconds old, and is cheap."""

    def read_configuration(
        self,
        on_reply: Callable[[RegistryReply], None],
    ) -> None:
        """Read the configuration alone, which may be seconds old."""

    def wait_for_changes(
        self,
        after_revision: int,
        wait_s: float,
        on_reply: Callable[[RegistryReply], None],
    ) -> None:
        """Wait for changes after a revision."""

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
        """List this host for as long as its lease is renewed."""

    def renew_host(self, on_written: OnWritten) -> None:
        """Renew the lease of this host's entry."""


def facts_of_kind(facts: Iterable[Fact], kind: type) -> Iterable[Fact]:
    """Yield the facts of one kind."""
    return (fact for fact in facts if isinstance(fact, kind))
