"""Write one configuration change to the key-value store."""

from collections.abc import Callable
from typing import Any

from bamboodeck.configuration.changes import (
    ReplaceDocument,
    apply_change,
    commutes,
    summarize_change,
)
from bamboodeck.configuration.model import Configuration
from bamboodeck.configuration.outcomes import (
    ConfigurationConflictError,
    ConfigurationUnavailableError,
    ConfigurationUnknownError,
    Failed,
    WriteOutcome,
    WriteRequest,
    Written,
)
from bamboodeck.configuration.records import (
    CURRENT_KEY,
    MAX_PAST_CHANGES,
    StoredConfiguration,
    decode_record,
    encode_record,
    history_key,
    read_configuration,
    revision_of,
)
from bamboodeck.errors import BamboodeckError, InputError
from bamboodeck.keyvalue.port import (
    MISSING_REVISION,
    CompareAndSwap,
    Conflict,
    Entry,
    KeyRead,
    KeyValuePort,
    ReadKey,
    StoreReply,
    StoreUnavailable,
    Swapped,
)

MAX_TRIES = 5
RETRY_DELAY_S = 0.2

CallAfter = Callable[[float, Callable[[], None]], Any]
OnWritten = Callable[[WriteOutcome], None]


class WriteAttempt:
    """Write one change, retrying a limited number of times."""

    def __init__(
        self,
        port: KeyValuePort,
        call_after: CallAfter,
        request: WriteRequest,
        on_written: OnWritten,
    ) -> None:
        """Prepare a request; `on_written` gets its outcome once."""
        self._port = port
        self._call_after = call_after
        self._request = request
        self._on_written = on_written
        self._tries = 0
        self._maybe_applied = False
        self._base: Entry | None = None
        self._record: StoredConfiguration | None = None

    def start(self) -> None:
        """Read the configuration that the change replaces."""
        self._port.submit(ReadKey(CURRENT_KEY), self._on_read)

    def _on_read(self, reply: StoreReply) -> None:
        match reply:
            case KeyRead(entry):
                self._prepare_safely(entry)
            case StoreUnavailable(reason):
                self._retry(self.start, reason)

    def _prepare_safely(self, entry: Entry | None) -> None:
        try:
            self._prepare(entry)
        except BamboodeckError as error:
            self._on_written(Failed(error))

    def _prepare(self, entry: Entry | None) -> None:
        if entry is not None and self._finish_if_applied(entry):
            return
        request = self._request
        revision = revision_of(entry)
        if request.expected_revision not in {None, revision}:
            raise self._conflict(entry)
        current = self._read_configuration(entry)
        document = apply_change(current, request.change)
        self._base = entry
        self._record = _next_record(request, document.text, entry)
        encode_record(self._record)
        self._save_history()

    def _save_history(self) -> None:
        if self._base is None:
            self._swap()
            return
        key = history_key(self._base.revision)
        self._port.submit(
            CompareAndSwap(key, MISSING_REVISION, self._base.body),
            self._on_history_saved,
        )

    def _on_history_saved(self, reply: StoreReply) -> None:
        match reply:
            case Swapped() | Conflict():
                self._swap()
            case StoreUnavailable(reason):
                self._retry(self._save_history, reason)

    def _swap(self) -> None:
        assert self._record is not None  # noqa: S101
        self._port.submit(
            CompareAndSwap(
                CURRENT_KEY,
                revision_of(self._base),
                encode_record(self._record),
            ),
            self._on_swapped,
        )

    def _on_swapped(self, reply: StoreReply) -> None:
        match reply:
            case Swapped(revision):
                self._prune_history()
                self._on_written(Written(revision))
            case Conflict(current):
                self._resolve_conflict_safely(current)
            case StoreUnavailable(reason, maybe_applied):
                # Repeating the same swap is safe: it succeeds at most once.
                self._maybe_applied = self._maybe_applied or maybe_applied
                self._retry(self._swap, reason)

    def _resolve_conflict_safely(self, current: Entry | None) -> None:
        try:
            self._resolve_conflict(current)
        except BamboodeckError as error:
            self._on_written(Failed(error))

    def _resolve_conflict(self, current: Entry | None) -> None:
        base_revision = revision_of(self._base)
        if current is None or current.revision <= base_revision:
            # A stale value doesn't show whether the swap took effect.
            self._retry(self._swap, 'the store returned a stale value')
            return
        if self._finish_if_applied(current):
            return
        if self._maybe_applied and not _history_covers(current, base_revision):
            raise ConfigurationUnknownError(
                f'whether change {self._request.change_id} took effect is '
                'unknown: the history no longer reaches back to it',
            )
        self._maybe_applied = False
        pinned = self._request.expected_revision is not None
        if pinned or not self._commutes(current):
            raise self._conflict(current)
        self._count_try('other changes were made concurrently')
        self._prepare(current)

    def _commutes(self, current: Entry) -> bool:
        return commutes(
            self._request.change,
            self._read_configuration(self._base),
            self._read_configuration(current),
        )

    def _finish_if_applied(self, entry: Entry) -> bool:
        record = _decode(entry)
        if record is None:
            return False
        for note in record.notes(entry.revision):
            if note.change_id == self._request.change_id:
                self._on_written(Written(note.revision))
                return True
        return False

    def _read_configuration(self, entry: Entry | None) -> Configuration | None:
        if entry is None:
            return None
        try:
            return read_configuration(entry.revision, entry.body)
        except InputError:
            # A whole document may replace one that can't be read.
            if isinstance(self._request.change, ReplaceDocument):
                return None
            raise

    def _conflict(self, entry: Entry | None) -> ConfigurationConflictError:
        expected_revision = self._request.expected_revision
        if expected_revision is None:
            expected_revision = revision_of(self._base)
        record = _decode(entry)
        note = None
        if entry is not None and record is not None:
            note = record.note(entry.revision)
        summary = summarize_change(self._request.change)
        return ConfigurationConflictError(summary, expected_revision, note)

    def _retry(self, step: Callable[[], None], reason: str) -> None:
        try:
            self._count_try(reason)
        except BamboodeckError as error:
            self._on_written(Failed(error))
            return
        self._call_after(RETRY_DELAY_S, step)

    def _count_try(self, reason: str) -> None:
        self._tries += 1
        if self._tries < MAX_TRIES:
            return
        change_id = self._request.change_id
        if self._maybe_applied:
            raise ConfigurationUnknownError(
                f'whether change {change_id} took effect is unknown: {reason}',
            )
        raise ConfigurationUnavailableError(
            f'change {change_id} was not made: {reason}',
        )

    def _prune_history(self) -> None:
        base = _decode(self._base)
        if base is None or len(base.past) < MAX_PAST_CHANGES:
            return
        key = history_key(base.past[-1].revision)
        self._port.submit(ReadKey(key), self._on_oldest_read)

    def _on_oldest_read(self, reply: StoreReply) -> None:
        if isinstance(reply, KeyRead) and reply.entry is not None:
            oldest = reply.entry
            self._port.submit(
                CompareAndSwap(oldest.key, oldest.revision, None),
                _ignore_reply,
            )


def _decode(entry: Entry | None) -> StoredConfiguration | None:
    if entry is None:
        return None
    try:
        return decode_record(entry.body)
    except InputError:
        return None


def _next_record(
    request: WriteRequest,
    text: str,
    entry: Entry | None,
) -> StoredConfiguration:
    before = _decode(entry)
    past = () if before is None else before.notes(revision_of(entry))
    return StoredConfiguration(
        change_id=request.change_id,
        changed_by=request.changed_by,
        changed_s=request.changed_s,
        summary=summarize_change(request.change),
        text=text,
        past=past[:MAX_PAST_CHANGES],
    )


def _history_covers(entry: Entry, revision: int) -> bool:
    if revision == MISSING_REVISION:
        record = _decode(entry)
        return record is not None and len(record.past) < MAX_PAST_CHANGES
    record = _decode(entry)
    return record is not None and any(
        note.revision == revision for note in record.past
    )


def _ignore_reply(reply: StoreReply) -> None:
    """Ignore a failed deletion; the old record stays in the store."""
