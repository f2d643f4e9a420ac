"""Poll the engines of a zone for the versions they have loaded."""

import functools
from collections import Counter, deque

import msgspec

from bamboodeck.configuration.model import Configuration, Engine
from bamboodeck.http.client import HttpClient
from bamboodeck.http.messages import (
    HttpCall,
    HttpOutcome,
    HttpReply,
    parse_address,
)
from bamboodeck.placement.state import EngineReport

# A poll takes about 600 bytes; 2 per second leave most of a budget of 9 KB/s
# to other traffic.
MAX_POLLS_AT_ONCE = 2
POLL_TIMEOUT_S = 2.0
# Consecutive failed polls after which an engine counts as gone.
MAX_FAILURES = 3
_OK = 200


class HoldingBody(msgspec.Struct, frozen=True):
    """Define the fields that are read from an engine's load report."""

    versions: tuple[str, ...]
    leaving: bool = False


_decoder = msgspec.json.Decoder(HoldingBody)


class EnginePoller:
    """Poll the engines that may get orders, a few at a time."""

    def __init__(
        self,
        client: HttpClient,
        zone: str,
    ) -> None:
        """Start without engines."""
        self._client = client
        self._zone = zone
        self._queue: deque[str] = deque()
        self._engines: dict[str, Engine] = {}
        self._polled: set[str] = set()
        self._reports: dict[str, EngineReport] = {}
        self._failures: Counter[str] = Counter()
        self._sequence = 0

    @property
    def complete(self) -> bool:
        """Return whether each engine was polled, with or without success."""
        return self._engines.keys() <= self._polled

    def reset(self) -> None:
        """Discard all results, when a term begins."""
        self._polled.clear()
        self._reports.clear()
        self._failures.clear()

    def apply_configuration(self, configuration: Configuration) -> None:
        """Select the engines of the zone that have slots."""
        self._engines = {
            engine.name: engine
            for engine in configuration.engines
            if engine.slots and engine.zone == self._zone
        }
        if self._queue and set(self._queue) == self._engines.keys():
            return
        self._queue = deque(sorted(self._engines))
        self._polled.intersection_update(self._engines)

    def poll(self) -> None:
        """Poll the next engines in the queue."""
        for _ in range(min(MAX_POLLS_AT_ONCE, len(self._queue))):
            name = self._queue[0]
            self._queue.rotate(-1)
            self._poll_engine(self._engines[name])

    def engine(self, name: str) -> Engine | None:
        """Return the configuration of an engine."""
        return self._engines.get(name)

    def find_reports(self) -> tuple[EngineReport, ...]:
        """Return the last reports of the engines that are not gone."""
        return tuple(
            report
            for name, report in self._reports.items()
            if name in self._engines and self._failures[name] < MAX_FAILURES
        )

    def _poll_engine(self, engine: Engine) -> None:
        self._sequence += 1
        call = HttpCall(
            parse_address(engine.address),
            'GET',
            '/load',
            timeout_s=POLL_TIMEOUT_S,
        )
        self._client.send(
            call,
            functools.partial(self._on_reply, engine.name, self._sequence),
        )

    def _on_reply(self, name: str, sequence: int, outcome: HttpOutcome) -> None:
        engine = self._engines.get(name)
        if engine is None:
            return
        self._polled.add(name)
        body = _read_body(outcome)
        if body is None:
            self._on_failure(name)
            return
        self._failures[name] = 0
        known = self._reports.get(name)
        if known is not None and known.sequence > sequence:
            return
        self._reports[name] = EngineReport(
            name,
            self._zone,
            sequence,
            engine.slots,
            engine.capacity_streams,
            body.versions,
            body.leaving,
        )

    def _on_failure(self, name: str) -> None:
        """Move an engine to the front of the queue until it counts as gone."""
        self._failures[name] += 1
        if self._failures[name] < MAX_FAILURES:
            self._queue.remove(name)
            self._queue.appendleft(name)


def _read_body(outcome: HttpOutcome) -> HoldingBody | None:
    if not isinstance(outcome, HttpReply) or outcome.status != _OK:
        return None
    try:
        return _decoder.decode(outcome.body)
    except msgspec.DecodeError:
        return None
