"""Define the requests and outcomes of configuration reads and writes."""

from dataclasses import dataclass

from bamboodeck.configuration.changes import ConfigurationChange
from bamboodeck.configuration.records import ChangeNote, StoredConfiguration
from bamboodeck.errors import BamboodeckError, ConflictError, UnavailableError


class ConfigurationConflictError(ConflictError):
    """Signal a change that conflicts with the current revision."""

    def __init__(
        self,
        summary: str,
        expected_revision: int,
        current: ChangeNote | None,
    ) -> None:
        """Describe the refused change and the one in force."""
        actual = 'there is no configuration'
        if current is not None:
            actual = (
                f'revision {current.revision} by {current.changed_by} '
                f'({current.summary}) is in force'
            )
        super().__init__(
            f'"{summary}" expected revision {expected_revision}, but {actual}',
        )
        self.summary = summary
        self.expected_revision = expected_revision
        self.current = current


class ConfigurationUnavailableError(UnavailableError):
    """Signal that the store did not answer and nothing was changed."""


class ConfigurationUnknownError(UnavailableError):
    """Signal that it is unknown whether a change took effect."""


@dataclass(frozen=True, slots=True)
class WriteRequest:
    """Request a change; without `expected_revision` it applies to the newest.

    Requests with the same change id are one change, which is made once.
    """

    change: ConfigurationChange
    change_id: str
    changed_by: str
    changed_s: float
    expected_revision: int | None = None


@dataclass(frozen=True, slots=True)
class Written:
    """Report the revision at which a change was made."""

    revision: int


@dataclass(frozen=True, slots=True)
class RecordRead:
    """Report the stored record, None if there is none."""

    revision: int
    record: StoredConfiguration | None


@dataclass(frozen=True, slots=True)
class Failed:
    """Report why a read or write failed."""

    error: BamboodeckError


WriteOutcome = Written | Failed
ReadOutcome = RecordRead | Failed
