"""Define the JSON bodies of the administration API."""

from dataclasses import dataclass
from typing import Any

import msgspec

from bamboodeck.configuration.records import ChangeNote
from bamboodeck.errors import InputError
from bamboodeck.settings.faults import Fault


class BodyError(InputError):
    """Report a body that does not have the expected structure."""


@dataclass(frozen=True, slots=True)
class CheckDocument:
    """Request a check of a configuration document without applying it."""

    text: str
    source: str = 'document'


@dataclass(frozen=True, slots=True)
class ApplyDocument:
    """Request to replace the document of the expected revision."""

    text: str
    change_id: str
    expected_revision: int
    source: str = 'document'
    revive: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class PutPreset:
    """Request to switch to another preset."""

    preset: str
    change_id: str
    expected_revision: int | None = None


@dataclass(frozen=True, slots=True)
class MakeChange:
    """Request a change that the path describes completely."""

    change_id: str
    expected_revision: int | None = None


@dataclass(frozen=True, slots=True)
class StartRollout:
    """Request the roll-out of a version against a steady baseline."""

    version: str
    baseline: str
    max_exposed_weight: float
    change_id: str
    revive: bool = False


@dataclass(frozen=True, slots=True)
class AddSigningKey:
    """Request to add a signing key."""

    key_id: str
    secret_hex: str
    change_id: str


@dataclass(frozen=True, slots=True)
class CheckResult:
    """List the faults of a document, none if it is valid."""

    faults: tuple[Fault, ...]


@dataclass(frozen=True, slots=True)
class ConfigurationView:
    """Show the configuration in force on the node.

    Secrets are hidden from everyone but administrators. `age_s` is the time
    since the node last knew that its revision was the newest, None if it
    never did.
    """

    node: str
    zone: str
    change: ChangeNote
    age_s: float | None
    text: str


@dataclass(frozen=True, slots=True)
class HistoryView:
    """List changes, newest first."""

    changes: tuple[ChangeNote, ...]


@dataclass(frozen=True, slots=True)
class PastDocument:
    """Show the document of a past revision."""

    change: ChangeNote
    text: str


@dataclass(frozen=True, slots=True)
class PresetView:
    """Show the preset in force and all available presets."""

    revision: int
    in_force: str
    presets: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class NodeStatus:
    """Show the last reported status of a node.

    `configuration_age_s` is the time since the node last knew that its
    revision was the newest, `report_age_s` the age of the report; either is
    None if that never happened.
    """

    node: str
    zone: str
    role: str
    revision: int
    configuration_age_s: float | None
    report_age_s: float | None
    state: str = 'serving'


@dataclass(frozen=True, slots=True)
class ZoneConfirmation:
    """Show whether a revision is in force on all nodes of a zone."""

    zone: str
    confirmed: bool
    confirmed_nodes: int
    known_nodes: int
    missing: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class StatusView:
    """Show the nodes and the zones in which a revision is in force."""

    revision: int
    zones: tuple[ZoneConfirmation, ...]
    nodes: tuple[NodeStatus, ...]


@dataclass(frozen=True, slots=True)
class ChangeResult:
    """Report the revision of a change and the zones where it is in force."""

    revision: int
    change_id: str
    zones: tuple[ZoneConfirmation, ...]


@dataclass(frozen=True, slots=True)
class RolloutRow:
    """Show a version in roll-out."""

    version: str
    baseline: str
    exposed_weight: float
    max_exposed_weight: float
    stage: str


@dataclass(frozen=True, slots=True)
class RolloutsView:
    """Show the roll-outs."""

    rollouts: tuple[RolloutRow, ...]


@dataclass(frozen=True, slots=True)
class PlacementRow:
    """Show the versions loaded on an engine.

    An engine without slots gets no placement orders.
    """

    engine: str
    zone: str
    slots: int
    versions: tuple[str, ...]
    usable: bool


@dataclass(frozen=True, slots=True)
class PlacementView:
    """Show the versions on each engine, as known to one entry host."""

    node: str
    engines: tuple[PlacementRow, ...]


@dataclass(frozen=True, slots=True)
class CreditsRow:
    """Show the credits of a provider."""

    provider: str
    credits: float
    spent_credits: float
    remaining_credits: float
    expires_s: float
    credit_price: float


@dataclass(frozen=True, slots=True)
class CreditsView:
    """Show the credits of all providers."""

    providers: tuple[CreditsRow, ...]


@dataclass(frozen=True, slots=True)
class BillRow:
    """Show what a customer is billed."""

    customer: str
    requests: int
    input_tokens: int
    output_tokens: int
    charged_credits: float


@dataclass(frozen=True, slots=True)
class BillsView:
    """Show bills that are complete up to `as_of_s`, a Unix time."""

    as_of_s: float
    bills: tuple[BillRow, ...]


@dataclass(frozen=True, slots=True)
class DecisionRow:
    """Show one decision about a request."""

    decided_s: float
    node: str
    event: str
    version: str
    reason: str
    detail: str


@dataclass(frozen=True, slots=True)
class ExplainView:
    """Show the decisions about a request in order."""

    request_id: str
    decisions: tuple[DecisionRow, ...]


@dataclass(frozen=True, slots=True)
class AdminError:
    """Describe an error by a code for programs and a message for people."""

    code: str
    message: str
    faults: tuple[Fault, ...] = ()
    current: ChangeNote | None = None


@dataclass(frozen=True, slots=True)
class ErrorBody:
    """Wrap the error of a failed request."""

    error: AdminError


def encode_body(content: Any) -> bytes:
    """Encode a body as JSON."""
    return msgspec.json.encode(content)


def decode_body(body: bytes, expected: type[Any]) -> Any:
    """Decode a JSON body as a type; raise `BodyError`."""
    try:
        return msgspec.json.decode(body, type=expected)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise BodyError(f'invalid body: {error}') from None
