"""Stand-in for an order service without deduplication of calls."""

import hashlib
import os
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import msgspec

from bamboodeck.fakes.crash import exit_process
from bamboodeck.fakes.faults import Count, Fault
from bamboodeck.fakes.stand_in import (
    StandIn,
    respond_error,
    respond_json,
)
from bamboodeck.http.messages import Address, ApiRequest
from bamboodeck.http.responder import Responder
from bamboodeck.logs import EventLog
from bamboodeck.loop.program import Loop

KEY_HEADER = 'idempotency-key'
NOT_STARTED_HEADER = 'x-not-started'


@dataclass(frozen=True)
class LoseAnswer(Fault):
    """Run a call, then close the connection without a response."""

    times: Count = 1


@dataclass(frozen=True)
class CrashBeforeRun(Fault):
    """Crash before a call runs."""

    times: Count = 1


@dataclass(frozen=True)
class CrashAfterRun(Fault):
    """Crash after a call ran and before its response."""

    times: Count = 1


@dataclass(frozen=True)
class RefuseUnstarted(Fault):
    """Reject a call with a header that says that it did not start."""

    times: Count = 1


ORDER_FAULTS: tuple[type[Fault], ...] = (
    LoseAnswer,
    CrashBeforeRun,
    CrashAfterRun,
    RefuseUnstarted,
)


@dataclass(frozen=True)
class OrderSettings:
    """Configure the run time and the file that persists the runs, if any."""

    delay_s: float = 0.01
    journal: Path | None = None


@dataclass(frozen=True, slots=True)
class OrderRun:
    """Record one run of a call; `count` counts the runs of its key.

    `ran_s` is in seconds since 1970.
    """

    key: str
    method: str
    body_sha256: str
    count: int
    ran_s: float = 0.0


class OrderJournal:
    """Record runs, in a file too if set, to persist them across crashes."""

    def __init__(self, path: Path | None) -> None:
        """Restore the runs that an earlier process recorded."""
        self.runs: list[OrderRun] = []
        self._counts: dict[str, int] = {}
        self._descriptor: int | None = None
        if path is None:
            return
        if path.exists():
            self._restore(path)
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self._descriptor = os.open(path, flags, 0o644)

    def add(
        self,
        key: str,
        method: str,
        body: bytes,
        ran_s: float = 0.0,
    ) -> OrderRun:
        """Record a run."""
        run = OrderRun(
            key,
            method,
            hashlib.sha256(body).hexdigest(),
            self._counts.get(key, 0) + 1,
            ran_s,
        )
        self._append(run)
        if self._descriptor is not None:
            line = b'%b\n' % msgspec.json.encode(run)
            os.write(self._descriptor, line)
        return run

    def _restore(self, path: Path) -> None:
        for line in path.read_bytes().splitlines():
            self._append(msgspec.json.decode(line, type=OrderRun))

    def _append(self, run: OrderRun) -> None:
        self.runs.append(run)
        self._counts[run.key] = run.count


class OrderService:
    """Run every call, including repeated ones."""

    def __init__(
        self,
        loop: Loop,
        address: Address,
        settings: OrderSettings,
        log: EventLog,
        crash: Callable[[], None] = exit_process,
    ) -> None:
        """Listen on an address; `crash` terminates the service process."""
        self.stand_in = StandIn(loop, address, 'orders', ORDER_FAULTS, log)
        self.journal = OrderJournal(settings.journal)
        self._settings = settings
        self._scheduler = loop.scheduler
        self._faults = self.stand_in.faults
        self._crash = crash
        self._wall_s = loop.environment.wall_s
        self.stand_in.fallback = self._handle_call
        self.stand_in.add_route('GET', '/record', self._show_record)

    def _handle_call(self, request: ApiRequest, responder: Responder) -> None:
        if request.method != 'POST':
            message = f'method {request.method} is not allowed'
            respond_error(responder, 405, 'method_not_allowed', message)
            return
        if self._faults.consume(RefuseUnstarted):
            respond_error(
                responder,
                503,
                'not_started',
                'the order service takes no call now',
                {NOT_STARTED_HEADER: '1', 'Retry-After': '1'},
            )
            return
        if self._faults.consume(CrashBeforeRun):
            self._crash_before_response(responder)
            return
        self._scheduler.call_after(
            self._settings.delay_s,
            lambda: self._run(request, responder),
        )

    def _run(self, request: ApiRequest, responder: Responder) -> None:
        # The call runs even if the caller has disconnected.
        key = request.headers.get(KEY_HEADER, '')
        run = self.journal.add(
            key,
            request.path.lstrip('/'),
            request.body,
            self._wall_s(),
        )
        if self._faults.consume(CrashAfterRun):
            self._crash_before_response(responder)
            return
        if self._faults.consume(LoseAnswer):
            responder.abort()
            return
        respond_json(
            responder,
            200,
            {'method': run.method, 'key': run.key, 'run': run.count},
        )

    def _crash_before_response(self, responder: Responder) -> None:
        self._crash()
        responder.abort()

    def _show_record(self, request: ApiRequest, responder: Responder) -> None:
        respond_json(responder, 200, {'runs': self.journal.runs})
