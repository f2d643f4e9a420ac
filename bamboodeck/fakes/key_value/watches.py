"""Stream changes to the watches of the key-value stand-in."""

from dataclasses import dataclass

import msgspec

from bamboodeck.fakes.key_value.codec import (
    Json,
    read_field,
    read_int,
    read_object_field,
    read_range,
    encode_event,
    build_header,
)
from bamboodeck.fakes.key_value.store import (
    KeyRange,
    RevisionedStore,
    StoreEvent,
)
from bamboodeck.http.responder import Responder

PROGRESS_PERIOD_S = 3.0
MAX_LINE_BYTES = 262_144


@dataclass(slots=True)
class Watcher:
    """Track the position of one watch in the event history."""

    responder: Responder
    key_range: KeyRange
    next_revision: int
    wants_progress: bool


class Watches:
    """Manage the open watches and publish events to them."""

    def __init__(self, store: RevisionedStore) -> None:
        """Start without any watch."""
        self.waiting: dict[int, Watcher] = {}
        self.started_watch_count = 0
        self._store = store

    def start(self, body: Json, responder: Responder) -> None:
        """Start a watch; raise `InvalidRequestError`."""
        create = read_object_field(body, 'create_request')
        key_range = read_range(create)
        start_revision = read_int(create, 'start_revision')
        responder.start_stream(200, 'application/json')
        compacted = self._store.compacted_revision
        if start_revision and start_revision <= compacted:
            self._refuse_compacted(responder, compacted)
            return
        watcher = Watcher(
            responder,
            key_range,
            start_revision or self._store.revision + 1,
            bool(read_field(create, 'progress_notify')),
        )
        self.started_watch_count += 1
        self._send(responder, {'watch_id': '0', 'created': True})
        self.waiting[id(watcher)] = watcher
        responder.on_aborted = lambda: self._remove(watcher)
        self._publish(watcher)

    def publish(self) -> None:
        """Send the new events to each watch."""
        for watcher in tuple(self.waiting.values()):
            if watcher.next_revision <= self._store.revision:
                self._publish(watcher)

    def send_progress(self) -> None:
        """Send a progress notification to the watches that requested it."""
        for watcher in self.waiting.values():
            if watcher.wants_progress and not watcher.responder.congested:
                self._send(watcher.responder, {'watch_id': '0'})

    def abort_all(self) -> None:
        """Abort the connections of all watches."""
        for watcher in tuple(self.waiting.values()):
            self._remove(watcher)
            watcher.responder.abort()

    def close_all(self) -> None:
        """End the streams of all watches gracefully."""
        for watcher in tuple(self.waiting.values()):
            self._remove(watcher)
            watcher.responder.end()

    def _publish(self, watcher: Watcher) -> None:
        events = []
        for event in reversed(self._store.events):
            if event.change.mod_revision < watcher.next_revision:
                break
            if watcher.key_range.contains(event.change.key):
                events.append(event)
        watcher.next_revision = self._store.revision + 1
        events.reverse()
        self._send_events(watcher.responder, events)

    def _send_events(
        self,
        responder: Responder,
        events: list[StoreEvent],
    ) -> None:
        # The events of one revision stay in one line.
        line: list[Json] = []
        size_bytes = 0
        revision = 0
        for event in events:
            cut = event.change.mod_revision != revision
            if cut and size_bytes > MAX_LINE_BYTES:
                self._send(responder, {'watch_id': '0', 'events': line})
                line = []
                size_bytes = 0
            revision = event.change.mod_revision
            size_bytes += len(event.change.key) + len(event.change.body)
            line.append(encode_event(event))
        if line:
            self._send(responder, {'watch_id': '0', 'events': line})

    def _remove(self, watcher: Watcher) -> None:
        self.waiting.pop(id(watcher), None)
        watcher.responder.on_aborted = None

    def _refuse_compacted(self, responder: Responder, revision: int) -> None:
        self._send(
            responder,
            {
                'watch_id': '0',
                'canceled': True,
                'compact_revision': str(revision),
            },
        )
        responder.end()

    def _send(self, responder: Responder, fields: Json) -> None:
        header = {'header': build_header(self._store.revision)}
        line = msgspec.json.encode({'result': {**header, **fields}})
        responder.send(b'%b\n' % line)
