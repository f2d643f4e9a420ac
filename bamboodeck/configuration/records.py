"""Define how a configuration is stored in the key-value store."""

from dataclasses import dataclass, field

import msgspec

from bamboodeck.configuration.model import Configuration
from bamboodeck.configuration.parsing import (
    build_configuration,
    parse_configuration,
)
from bamboodeck.errors import InputError
from bamboodeck.keyvalue.port import MISSING_REVISION, Entry

CURRENT_KEY = '/bamboodeck/configuration/current'
HISTORY_PREFIX = '/bamboodeck/configuration/history/'
MAX_RECORD_BYTES = 1_000_000
MAX_PAST_CHANGES = 64


class RecordError(InputError):
    """Signal a record that can't be decoded or is too large to store."""


@dataclass(frozen=True, slots=True)
class ChangeNote:
    """Describe a change: who made it, when (Unix time) and what it was."""

    revision: int
    change_id: str
    changed_by: str
    changed_s: float
    summary: str


@dataclass(frozen=True, slots=True)
class StoredConfiguration:
    """Store a document with its change and the past ones, newest first.

    The revision of its own change is the revision of the key.
    """

    change_id: str
    changed_by: str
    changed_s: float
    summary: str
    text: str
    past: tuple[ChangeNote, ...] = field(default=())

    def note(self, revision: int) -> ChangeNote:
        """Describe this record's change, made at `revision`."""
        return ChangeNote(
            revision,
            self.change_id,
            self.changed_by,
            self.changed_s,
            self.summary,
        )

    def notes(self, revision: int) -> tuple[ChangeNote, ...]:
        """Describe this record's change and the past ones, newest first."""
        return (self.note(revision), *self.past)


_DECODER = msgspec.json.Decoder(StoredConfiguration)


def encode_record(record: StoredConfiguration) -> bytes:
    """Encode a record; raise `RecordError` if it is too large."""
    body = msgspec.json.encode(record)
    if len(body) > MAX_RECORD_BYTES:
        raise RecordError(
            f'record of {len(body)} bytes exceeds the maximum of '
            f'{MAX_RECORD_BYTES}',
        )
    return body


def decode_record(body: bytes) -> StoredConfiguration:
    """Decode a record; raise `RecordError`."""
    try:
        return _DECODER.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise RecordError(f'the stored record is broken: {error}') from None


def read_configuration(revision: int, body: bytes) -> Configuration:
    """Decode, parse and check a stored body; raise `InputError`."""
    record = decode_record(body)
    document = parse_configuration(record.text, f'revision {revision}')
    return build_configuration(
        document,
        revision,
        record.change_id,
        record.changed_by,
    )


def history_key(revision: int) -> str:
    """Return the key under which a past revision is stored."""
    return f'{HISTORY_PREFIX}{revision:020d}'


def revision_of(entry: Entry | None) -> int:
    """Return the revision of an entry, 0 if it is missing."""
    return MISSING_REVISION if entry is None else entry.revision
