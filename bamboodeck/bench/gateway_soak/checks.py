"""Check the promises by what callers and engines have seen."""

import math
from collections import defaultdict
from collections.abc import Iterable, Iterator

import msgspec

from bamboodeck.bench.gateway_soak.record import (
    Exit,
    RequestKind,
    RouteChange,
    RunRecord,
    Sent,
)
from bamboodeck.exit_status import ExitStatus
from bamboodeck.fakes.platform.documents import CUSTOMER
from bamboodeck.fakes.platform.engine import DEFAULT_EVENTS, EngineRun
from bamboodeck.platform import protocol

# The bounds that the system is run with, and what a busy machine may add.
CONFIGURATION_S = 2.5
DRAIN_S = 2.5
STABILITY_S = 4.0
GRACE_S = 6.0
SLACK_S = 1.0
# The cause that a planned stop is noted as.
STOPPED = 'SIGTERM'
# Statuses that promise that a request hasn't run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_OK = 200
_NOT_FOUND = 404
STREAM = b''.join(
    b'id: %d\ndata: piece %d\n\n' % (number, number)
    for number in range(1, DEFAULT_EVENTS + 1)
)
# Only the gateway sets these; a caller's own must not reach an engine.
OWN_HEADERS = (protocol.HOLD, protocol.KV_FROM)


class Violation(msgspec.Struct, frozen=True):
    """Tell which promise a request or a process has broken."""

    promise: str
    subject: str
    detail: str


class StartedRun(msgspec.Struct, frozen=True):
    """Hold a request at an engine."""

    engine_id: str
    run: EngineRun


def check_run(
    record: RunRecord,
    runs: Iterable[StartedRun],
    log_failures: Iterable[str],
) -> list[Violation]:
    """Return every broken promise of a run."""
    by_id: dict[str, list[StartedRun]] = defaultdict(list)
    for started in runs:
        by_id[started.run.request_id].append(started)
    sent_by_id = {sent.request_id: sent for sent in record.sent}
    found = list(_check_unasked(by_id, sent_by_id))
    for sent in record.sent:
        found.extend(_check_answer(sent))
        found.extend(_check_runs(sent, by_id[sent.request_id]))
        found.extend(_check_time(record, sent))
        if sent.kind is RequestKind.EXTRA and sent.status:
            found.extend(_check_route(record, sent))
        found.extend(_check_cut(record, sent, by_id[sent.request_id]))
    found.extend(_check_drains(record, by_id, sent_by_id))
    found.extend(_check_exits(record))
    found.extend(Violation('handlers', '', line) for line in log_failures)
    found.extend(Violation('recovery', '', open_) for open_ in record.unsettled)
    return found


def _check_answer(sent: Sent) -> Iterator[Violation]:
    if not sent.whole or sent.status != _OK:
        return
    expected = STREAM
    if sent.kind is not RequestKind.STREAM:
        engine = sent.answer.partition(b' ')[0]
        expected = b'%b ran %b' % (engine, sent.request_id.encode())
    if sent.answer != expected:
        yield Violation('whole answer', sent.request_id, repr(sent.answer))
    if sent.answer_id != sent.request_id:
        yield Violation('own answer', sent.request_id, str(sent.answer_id))


def _check_runs(sent: Sent, runs: list[StartedRun]) -> Iterator[Violation]:
    engines = ', '.join(each.engine_id for each in runs)
    if sent.kind is not RequestKind.UNSAFE:
        return
    if len(runs) > 1:
        yield Violation('at most once', sent.request_id, engines)
    if runs and sent.status in NOT_RUN_STATUSES:
        yield Violation('true refusal', sent.request_id, engines)


def _check_unasked(
    by_id: dict[str, list[StartedRun]],
    sent_by_id: dict[str, Sent],
) -> Iterator[Violation]:
    for request_id, runs in by_id.items():
        for each in runs:
            for promise in _find_unasked(each.run, sent_by_id.get(request_id)):
                yield Violation(promise, request_id, each.engine_id)


def _find_unasked(run: EngineRun, sent: Sent | None) -> Iterator[str]:
    asked = None if sent is None else (sent.method, sent.path, sent.body)
    if asked != (run.method, run.target, run.body):
        yield 'as asked'
    if run.headers.get(protocol.TENANT.lower()) != CUSTOMER:
        yield 'own customer'
    if protocol.API_KEY.lower() in run.headers:
        yield 'secret key'
    if any(name.lower() in run.headers for name in OWN_HEADERS):
        yield 'forged header'


def _check_time(record: RunRecord, sent: Sent) -> Iterator[Violation]:
    due_s = sent.sent_s + sent.timeout_s + SLACK_S
    if not sent.ended_s:
        # The run ended before; what is still open is counted as unsettled.
        return
    began_s = sent.sent_s - STABILITY_S
    if not record.is_calm(sent.host, began_s, sent.ended_s):
        return
    if sent.ended_s > due_s:
        late_s = sent.ended_s - due_s
        yield Violation('deadline', sent.request_id, f'{late_s:.2f} s late')
    if not sent.whole and not sent.status:
        yield Violation('any answer', sent.request_id, sent.failure)


def _check_route(record: RunRecord, sent: Sent) -> Iterator[Violation]:
    if not record.is_calm(sent.host, sent.sent_s - STABILITY_S, sent.ended_s):
        return
    newest = _find_newest(record, sent.path)
    if newest.written_s > sent.sent_s - CONFIGURATION_S:
        return
    if newest.present == (sent.status == _NOT_FOUND):
        detail = f'status {sent.status}, route there: {newest.present}'
        yield Violation('configuration', sent.request_id, detail)


def _find_newest(record: RunRecord, path: str) -> RouteChange:
    changes = [each for each in record.routes if path.startswith(each.prefix)]
    return changes[-1]


def _check_drains(
    record: RunRecord,
    by_id: dict[str, list[StartedRun]],
    sent_by_id: dict[str, Sent],
) -> Iterator[Violation]:
    left_s = {each.engine_id: each.written_s for each in record.left}
    for request_id, runs in by_id.items():
        sent = sent_by_id.get(request_id)
        for each in runs:
            bound_s = left_s.get(each.engine_id, math.inf) + DRAIN_S + SLACK_S
            began_s = each.run.began_s
            if began_s > bound_s and _is_calm_for(record, sent, began_s):
                yield Violation('leaving', request_id, each.engine_id)


def _is_calm_for(
    record: RunRecord,
    sent: Sent | None,
    until_s: float,
) -> bool:
    if sent is None:
        return False
    return record.is_calm(sent.host, sent.sent_s - STABILITY_S, until_s)


def _check_stop(record: RunRecord, ended: Exit) -> Iterator[Violation]:
    host = ended.host
    ran_on_s = ended.ended_s - ended.signalled_s
    since_s = ended.signalled_s - STABILITY_S
    if not record.is_calm(host, since_s, ended.ended_s, but=STOPPED):
        return
    if ended.status != ExitStatus.SUCCESS or ran_on_s > GRACE_S + SLACK_S:
        detail = f'{ended.status} after {ran_on_s:.1f} s'
        yield Violation('graceful stop', host, detail)


def _check_cut(
    record: RunRecord,
    sent: Sent,
    runs: list[StartedRun],
) -> Iterator[Violation]:
    # Planned stops cut nothing that an engine was running well.
    if sent.whole or not sent.failure or not runs:
        return
    began_s = sent.sent_s - STABILITY_S
    if not record.is_calm(sent.host, began_s, sent.ended_s, but=STOPPED):
        return
    if runs[-1].run.outcome in {'cancelled', 'whole'}:
        yield Violation('nothing cut', sent.request_id, sent.failure)


def _check_exits(record: RunRecord) -> Iterator[Violation]:
    for each in record.exits:
        match each.signalled:
            case 'SIGKILL':
                continue
            case 'SIGTERM':
                yield from _check_stop(record, each)
            case _:
                yield Violation('no own end', each.host, str(each.status))
