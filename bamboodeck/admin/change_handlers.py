"""Handle requests that change the configuration."""

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from bamboodeck.admin.access import require_role
from bamboodeck.admin.calls import Call
from bamboodeck.admin.messages import (
    AddSigningKey,
    ApplyDocument,
    ChangeResult,
    MakeChange,
    PutPreset,
    StartRollout,
)
from bamboodeck.admin.view import NodeView
from bamboodeck.admin.zones import confirm_zones
from bamboodeck.configuration.changes import (
    ConfigurationChange,
    DrainEngine,
    ReplaceDocument,
    RotateKey,
    SetPreset,
    SetVersionState,
    UndrainEngine,
    WithdrawVersion,
    summarize_change,
)
from bamboodeck.configuration.model import Role, VersionState
from bamboodeck.configuration.outcomes import Failed, WriteOutcome, WriteRequest
from bamboodeck.configuration.writer import ConfigurationWriter
from bamboodeck.errors import InputError
from bamboodeck.logs import EventLog

MAX_CHANGE_ID_LENGTH = 64


class ChangeIdError(InputError):
    """Report a change id that is empty or too long."""


@dataclass(frozen=True, slots=True)
class OperatorChangeMade:
    """Log a change that was committed to the key-value service."""

    operator: str
    change_id: str
    change: str
    revision: int


@dataclass(frozen=True, slots=True)
class OperatorChangeFailed:
    """Log a change that was refused, conflicted or has an unknown outcome."""

    operator: str
    change_id: str
    change: str
    reason: str


class ChangeHandlers:
    """Handle the requests that change the configuration."""

    def __init__(
        self,
        writer: ConfigurationWriter,
        view: NodeView,
        wall_s: Callable[[], float],
        log: EventLog,
    ) -> None:
        """Keep the writer and the view that zone confirmations come from."""
        self._writer = writer
        self._view = view
        self._wall_s = wall_s
        self._log = log

    def apply_document(self, call: Call) -> None:
        """Replace the whole configuration document."""
        body: ApplyDocument = call.read_body(ApplyDocument)
        change = ReplaceDocument(body.text, body.source, body.revive)
        self._submit(call, change, body.change_id, body.expected_revision)

    def put_preset(self, call: Call) -> None:
        """Switch to another preset."""
        body: PutPreset = call.read_body(PutPreset)
        change = SetPreset(body.preset)
        self._submit(call, change, body.change_id, body.expected_revision)

    def withdraw_version(self, call: Call) -> None:
        """Withdraw a version."""
        self._submit_from_path(call, WithdrawVersion(call.name))

    def start_rollout(self, call: Call) -> None:
        """Start a roll-out; only administrators may revive a version."""
        body: StartRollout = call.read_body(StartRollout)
        if body.revive:
            require_role(call.operator, Role.ADMINISTRATOR)
        change = SetVersionState(
            body.version,
            VersionState.ROLLOUT,
            body.baseline,
            body.max_exposed_weight,
            body.revive,
        )
        self._submit(call, change, body.change_id)

    def halt_rollout(self, call: Call) -> None:
        """End a roll-out by withdrawing its version."""
        self._submit_from_path(call, WithdrawVersion(call.name))

    def finish_rollout(self, call: Call) -> None:
        """End a roll-out by making its version steady."""
        self._submit_from_path(
            call, SetVersionState(call.name, VersionState.STEADY)
        )

    def drain_engine(self, call: Call) -> None:
        """Stop sending new work to an engine."""
        self._submit_from_path(call, DrainEngine(call.name))

    def undrain_engine(self, call: Call) -> None:
        """Resume sending work to an engine."""
        self._submit_from_path(call, UndrainEngine(call.name))

    def add_signing_key(self, call: Call) -> None:
        """Add a key and sign new session tokens with it."""
        body: AddSigningKey = call.read_body(AddSigningKey)
        change = RotateKey(body.key_id, body.secret_hex)
        self._submit(call, change, body.change_id)

    def _submit_from_path(
        self, call: Call, change: ConfigurationChange
    ) -> None:
        body: MakeChange = call.read_body(MakeChange)
        self._submit(call, change, body.change_id, body.expected_revision)

    def _submit(
        self,
        call: Call,
        change: ConfigurationChange,
        change_id: str,
        expected_revision: int | None = None,
    ) -> None:
        if not 0 < len(change_id) <= MAX_CHANGE_ID_LENGTH:
            raise ChangeIdError(
                f'change_id must have 1 to {MAX_CHANGE_ID_LENGTH} characters',
            )
        order = WriteRequest(
            change,
            change_id,
            call.operator.name,
            self._wall_s(),
            expected_revision,
        )
        self._writer.write(order, partial(self._on_outcome, call, order))

    def _on_outcome(
        self,
        call: Call,
        order: WriteRequest,
        outcome: WriteOutcome,
    ) -> None:
        summary = summarize_change(order.change)
        identity = (order.changed_by, order.change_id, summary)
        if isinstance(outcome, Failed):
            reason = str(outcome.error)
            self._log.warn(OperatorChangeFailed(*identity, reason))
            call.fail(outcome.error)
            return
        self._log.emit(OperatorChangeMade(*identity, outcome.revision))
        zones = confirm_zones(self._view.status_rows(), outcome.revision)
        call.answer(ChangeResult(outcome.revision, order.change_id, zones))
