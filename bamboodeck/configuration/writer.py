"""Write and read the configuration in the key-value store."""

from collections.abc import Callable
from functools import partial

from bamboodeck.configuration.attempt import CallAfter, OnWritten, WriteAttempt
from bamboodeck.configuration.outcomes import (
    ConfigurationUnavailableError,
    Failed,
    ReadOutcome,
    RecordRead,
    WriteRequest,
)
from bamboodeck.configuration.records import (
    CURRENT_KEY,
    decode_record,
    history_key,
)
from bamboodeck.errors import InputError
from bamboodeck.keyvalue.port import (
    MISSING_REVISION,
    KeyRead,
    KeyValuePort,
    ReadKey,
    StoreReply,
)

OnRead = Callable[[ReadOutcome], None]


class ConfigurationWriter:
    """Apply operators' changes by compare-and-swap."""

    def __init__(self, port: KeyValuePort, call_after: CallAfter) -> None:
        """Use the store `port` and `call_after(delay_s, callback)`."""
        self._port = port
        self._call_after = call_after

    def write(self, request: WriteRequest, on_written: OnWritten) -> None:
        """Make a change; the callback gets exactly one outcome."""
        WriteAttempt(self._port, self._call_after, request, on_written).start()

    def read_current(self, on_read: OnRead) -> None:
        """Read the current record."""
        self._port.submit(
            ReadKey(CURRENT_KEY),
            partial(_finish_read, None, on_read),
        )

    def read_past(self, revision: int, on_read: OnRead) -> None:
        """Read the record of a past revision from the history."""
        self._port.submit(
            ReadKey(history_key(revision)),
            partial(_finish_read, revision, on_read),
        )


def _finish_read(
    revision: int | None,
    on_read: OnRead,
    reply: StoreReply,
) -> None:
    if not isinstance(reply, KeyRead):
        error = ConfigurationUnavailableError(f'no answer: {reply}')
        on_read(Failed(error))
        return
    entry = reply.entry
    if entry is None:
        on_read(RecordRead(MISSING_REVISION, None))
        return
    try:
        record = decode_record(entry.body)
    except InputError as error:
        on_read(Failed(error))
        return
    on_read(RecordRead(revision or entry.revision, record))
