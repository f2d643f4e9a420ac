"""Handle requests that only read state."""

import math
import re
from collections.abc import Callable

from bamboodeck.admin.calls import Call
from bamboodeck.admin.failures import NotFoundError
from bamboodeck.admin.messages import (
    BillsView,
    CheckDocument,
    CheckResult,
    ConfigurationView,
    CreditsView,
    ExplainView,
    HistoryView,
    PastDocument,
    PlacementView,
    PresetView,
    RolloutsView,
    StatusView,
)
from bamboodeck.admin.view import NodeView
from bamboodeck.admin.zones import confirm_zones
from bamboodeck.configuration.changes import ReplaceDocument, apply_change
from bamboodeck.configuration.model import Configuration, Role
from bamboodeck.configuration.outcomes import Failed, ReadOutcome
from bamboodeck.configuration.records import (
    StoredConfiguration,
    decode_record,
)
from bamboodeck.configuration.replica import ConfigurationReplica
from bamboodeck.configuration.writer import ConfigurationWriter
from bamboodeck.errors import InputError, UnavailableError
from bamboodeck.settings.faults import Fault, FaultsError

SECRET_PLACEHOLDER = 'hidden'
_SECRET_PATTERN = re.compile(r'^(\s*secret_hex\s*=).*$', re.MULTILINE)


class ReadHandlers:
    """Handle the requests that change nothing."""

    def __init__(
        self,
        replica: ConfigurationReplica,
        writer: ConfigurationWriter,
        view: NodeView,
        monotonic_s: Callable[[], float],
    ) -> None:
        """Keep the sources that the handlers read."""
        self._replica = replica
        self._writer = writer
        self._view = view
        self._monotonic_s = monotonic_s

    def show_configuration(self, call: Call) -> None:
        """Show the configuration in force on this node."""
        record = self._require_record()
        age_s = self._replica.age_s(self._monotonic_s())
        call.answer(
            ConfigurationView(
                self._view.node,
                self._view.zone,
                record.note(self._replica.revision),
                age_s if math.isfinite(age_s) else None,
                _hide_secrets(record.text, call),
            ),
        )

    def check_document(self, call: Call) -> None:
        """List the faults that applying a document would report."""
        body: CheckDocument = call.read_body(CheckDocument)
        change = ReplaceDocument(body.text, body.source)
        try:
            apply_change(self._replica.configuration, change)
        except FaultsError as error:
            call.answer(CheckResult(error.faults))
        except InputError as error:
            call.answer(CheckResult((Fault(body.source, '', '', str(error)),)))
        else:
            call.answer(CheckResult(()))

    def show_history(self, call: Call) -> None:
        """List the changes up to the revision in force."""
        record = self._require_record()
        call.answer(HistoryView(record.notes(self._replica.revision)))

    def show_past_document(self, call: Call) -> None:
        """Show the document of a past revision."""
        if not (call.name.isascii() and call.name.isdigit()):
            raise NotFoundError(f'"{call.name}" is not a revision number')
        revision = int(call.name)
        if revision == self._replica.revision:
            record = self._require_record()
            _answer_past_document(call, revision, record)
            return

        def answer(outcome: ReadOutcome) -> None:  # noqa: WPS430
            if isinstance(outcome, Failed):
                call.fail(outcome.error)
                return
            if outcome.record is None:
                call.fail(NotFoundError(f'revision {revision} is not stored'))
                return
            _answer_past_document(call, revision, outcome.record)

        self._writer.read_past(revision, answer)

    def show_preset(self, call: Call) -> None:
        """Show the preset in force."""
        configuration = self._require_configuration()
        call.answer(
            PresetView(
                configuration.revision,
                configuration.preset_in_force,
                tuple(preset.name for preset in configuration.presets),
            ),
        )

    def show_status(self, call: Call) -> None:
        """Show the nodes and the zones in which a revision is in force."""
        requested = call.read_query('revision')
        revision = self._replica.revision
        if requested.isascii() and requested.isdigit():
            revision = int(requested)
        rows = self._view.status_rows()
        call.answer(StatusView(revision, confirm_zones(rows, revision), rows))

    def show_rollouts(self, call: Call) -> None:
        """Show the roll-outs."""
        call.answer(RolloutsView(self._view.rollout_rows()))

    def show_placement(self, call: Call) -> None:
        """Show which engine holds which versions."""
        rows = self._view.placement_rows()
        call.answer(PlacementView(self._view.node, rows))

    def show_credits(self, call: Call) -> None:
        """Show the credits of the providers."""
        call.answer(CreditsView(self._view.credits_rows()))

    def show_bills(self, call: Call) -> None:
        """Show the bills of one customer or of all."""

        def answer(bills: BillsView | None) -> None:  # noqa: WPS430
            if bills is None:
                call.fail(
                    UnavailableError('bills cannot be read at the moment')
                )
                return
            call.answer(bills)

        self._view.read_bills(call.read_query('customer'), answer)

    def explain(self, call: Call) -> None:
        """Show the decisions about a request."""

        def answer(explanation: ExplainView | None) -> None:  # noqa: WPS430
            if explanation is None:
                message = f'no decision about request "{call.name}" is known'
                call.fail(NotFoundError(message))
                return
            call.answer(explanation)

        self._view.explain(call.name, answer)

    def _require_configuration(self) -> Configuration:
        if self._replica.configuration is None:
            raise NotFoundError('no configuration has been applied yet')
        return self._replica.configuration

    def _require_record(self) -> StoredConfiguration:
        self._require_configuration()
        return decode_record(self._replica.body)


def _answer_past_document(
    call: Call,
    revision: int,
    record: StoredConfiguration,
) -> None:
    text = _hide_secrets(record.text, call)
    call.answer(PastDocument(record.note(revision), text))


def _hide_secrets(text: str, call: Call) -> str:
    if call.operator.role is Role.ADMINISTRATOR:
        return text
    return _SECRET_PATTERN.sub(rf'\1 {SECRET_PLACEHOLDER}', text)
