"""Test the soak of gateways: that each check sees what it is for."""

from collections.abc import Iterable
from pathlib import Path

import pytest

from bamboodeck.bench.gateway_soak.checks import (
    STABILITY_S,
    STREAM,
    StartedRun,
    check_run,
)
from bamboodeck.bench.gateway_soak.commands import write_lines
from bamboodeck.bench.gateway_soak.record import (
    Disturbance,
    EngineLeft,
    Exit,
    RequestKind,
    RouteChange,
    RunRecord,
    Sent,
)
from bamboodeck.bench.gateway_soak.run import GatewaySoak
from bamboodeck.fakes.platform.documents import CUSTOMER
from bamboodeck.fakes.platform.engine import EngineRun
from bamboodeck.http.messages import Header
from bamboodeck.platform import protocol
from tests.http.looping import build_loop
from tests.ports import find_free_address

REQUEST = 'request-1'
HOST = 'host-1'
SENT_S = 100.0


def build_sent(**fields: object) -> Sent:
    """Return a payment that was answered."""
    return Sent(
        **{
            'request_id': REQUEST,
            'kind': RequestKind.UNSAFE,
            'host': HOST,
            'method': 'POST',
            'path': '/pay/1?q=1',
            'body': b'body 1',
            'sent_s': SENT_S,
            'timeout_s': 1.2,
            'status': 200,
            'headers': (Header(protocol.REQUEST_ID, REQUEST),),
            'answer': b'shop-1 ran request-1',
            'whole': True,
            'ended_s': SENT_S + 0.1,
            **fields,
        },
    )


def build_run(engine_id: str = 'shop-1', **fields: object) -> StartedRun:
    """Return the payment's run."""
    run = EngineRun(
        **{
            'request_id': REQUEST,
            'method': 'POST',
            'target': '/pay/1?q=1',
            'headers': {protocol.TENANT.lower(): CUSTOMER},
            'body': b'body 1',
            'began_s': SENT_S,
            'outcome': 'whole',
            **fields,
        },
    )
    return StartedRun(engine_id, run)


def find_broken(
    sent: Sent,
    runs: Iterable[StartedRun] = (),
    **fields: object,
) -> set[str]:
    """Return which promises are broken."""
    record = RunRecord(sent=[sent], **fields)
    return {each.promise for each in check_run(record, runs, ())}


class TestAnswers:
    """See answers that aren't the caller's, whole and in time."""

    def test_sound(self) -> None:
        """Find nothing in what is right."""
        assert not find_broken(build_sent(), [build_run()])
        stream = build_sent(kind=RequestKind.STREAM, answer=STREAM)
        assert not find_broken(stream, [build_run()])

    @pytest.mark.parametrize(
        ('fields', 'promise'),
        [
            ({'answer': b'shop-1 ran request-2'}, 'whole answer'),
            ({'answer': b'shop-1 ran'}, 'whole answer'),
            ({'headers': ()}, 'own answer'),
            (
                {'kind': RequestKind.STREAM, 'answer': STREAM[:-5]},
                'whole answer',
            ),
            ({'ended_s': SENT_S + 3}, 'deadline'),
            ({'status': 0, 'whole': False, 'failure': 'closed'}, 'any answer'),
        ],
    )
    def test_broken(self, fields: dict, promise: str) -> None:
        """Name the promise."""
        assert promise in find_broken(build_sent(**fields))

    def test_disturbed(self) -> None:
        """Excuse lateness of a host that was disturbed, and of no other."""
        late = build_sent(ended_s=SENT_S + 3)
        before_s = SENT_S - STABILITY_S / 2
        for host, broken in ((HOST, set()), ('host-2', {'deadline'})):
            disturbances = [Disturbance(host, 'pause', before_s, before_s)]
            assert find_broken(late, disturbances=disturbances) == broken


class TestRuns:
    """See runs that should not have been."""

    @pytest.mark.parametrize(
        ('runs', 'promise'),
        [
            ([build_run(), build_run('shop-2')], 'at most once'),
            ([build_run(body=b'other')], 'as asked'),
            ([build_run(request_id='request-9')], 'as asked'),
            ([build_run(headers={})], 'own customer'),
            (
                [build_run(headers={protocol.API_KEY.lower(): 'key-1'})],
                'secret key',
            ),
            (
                [build_run(headers={protocol.HOLD.lower(): 'x'})],
                'forged header',
            ),
        ],
    )
    def test_broken(self, runs: list[StartedRun], promise: str) -> None:
        """Name the promise."""
        assert promise in find_broken(build_sent(), runs)

    def test_refusal(self) -> None:
        """See a refusal of a payment that ran."""
        refused = build_sent(status=503, answer=b'')
        assert find_broken(refused, [build_run()]) == {'true refusal'}

    def test_leaving(self) -> None:
        """See work that an engine got too late."""
        for left_s, broken in ((SENT_S - 9, {'leaving'}), (SENT_S - 1, set())):
            left = [EngineLeft('shop-1', left_s)]
            assert find_broken(build_sent(), [build_run()], left=left) == broken


class TestConfiguration:
    """See a host that heeds a configuration too late."""

    @pytest.mark.parametrize(
        ('present', 'status', 'broken'),
        [
            (True, 404, {'configuration'}),
            (False, 200, {'configuration'}),
            (True, 200, set()),
            (False, 404, set()),
        ],
    )
    def test_routes(self, present: bool, status: int, broken: set) -> None:
        """Ask for a route that was added or removed long before."""
        sent = build_sent(
            kind=RequestKind.EXTRA,
            path='/extra-1/5?q=5',
            status=status,
            answer=b'shop-1 ran request-1',
        )
        routes = [RouteChange('/extra-1/', present, SENT_S - 5)]
        assert find_broken(sent, routes=routes) == broken
        late = [RouteChange('/extra-1/', present, SENT_S - 1)]
        assert not find_broken(sent, routes=late)


class TestStops:
    """See processes that end wrongly."""

    @pytest.mark.parametrize(
        ('ended', 'broken'),
        [
            (Exit(HOST, -9, 'SIGKILL', 0.0, 0.1), set()),
            (Exit(HOST, 0, 'SIGTERM', 50.0, 53.0), set()),
            (Exit(HOST, 0, 'SIGTERM', 50.0, 59.0), {'graceful stop'}),
            (Exit(HOST, -15, 'SIGTERM', 50.0, 51.0), {'graceful stop'}),
            (Exit(HOST, 0, '', 0.0, 50.0), {'no own end'}),
        ],
    )
    def test_exits(self, ended: Exit, broken: set) -> None:
        """Tell planned stops from others."""
        assert find_broken(build_sent(), exits=[ended]) == broken

    def test_cut(self) -> None:
        """See an answer that a planned stop has cut."""
        cut = build_sent(whole=False, failure='peer closed the connection')
        stop = Disturbance(HOST, 'SIGTERM', SENT_S)
        cancelled = [build_run(outcome='cancelled')]
        assert find_broken(cut, cancelled, disturbances=[stop]) == {
            'nothing cut',
        }


class TestRealProcesses:
    """Keep every promise in short runs, with seeds that once failed."""

    # Seed 2: a SIGHUP while the program was loaded ended the process.
    @pytest.mark.parametrize('seed', [1, 2])
    def test_seed(self, seed: int, tmp_path: Path) -> None:
        """Run three gateways under faults."""
        soak = GatewaySoak(build_loop(), tmp_path, seed, 3, find_free_address)
        report = soak.run(8.0)
        assert report.requests > 100
        assert not report.violations, '\n'.join(write_lines(report))
