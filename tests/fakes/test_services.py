"""Test the order, rating, host list and weight store stand-ins."""

import pytest

from bamboodeck.fakes.engine.text import BAD_MARKER
from bamboodeck.fakes.host_list import (
    HostFileError,
    HostList,
    read_host_file,
)
from bamboodeck.fakes.orders import OrderService, OrderSettings
from bamboodeck.fakes.rating import Quality, RatingService, RatingSettings
from bamboodeck.fakes.weights import WeightSettings, WeightStore
from bamboodeck.http.messages import HttpFailed, find_header
from bamboodeck.external.host_list import Host, HostRole, HostState
from bamboodeck.external.rating import RateAnswer
from tests.fakes.peers import start_peer
from tests.http.looping import run_until

ENGINE_HOST = Host(
    'e1', '127.0.0.1:9101', 'z1', HostRole.ENGINE, HostState.LIVE
)


class TestOrderService:
    """Run every call and record the runs."""

    def start(self, settings: OrderSettings | None = None, **more):
        """Start a service that runs at once."""
        chosen = settings or OrderSettings(delay_s=0)
        return start_peer(OrderService, chosen, **more)[1]

    def pay(self, peer, key: str = 'k1'):
        """Send a payment."""
        return peer.try_call('POST', '/pay', {}, idempotency_key=key)

    def test_doubles_show(self) -> None:
        """Run a repeated key again and count it."""
        peer = self.start()
        self.pay(peer)
        self.pay(peer, 'k2')
        self.pay(peer)
        runs = peer.call('GET', '/record')['runs']
        assert [(each['key'], each['count']) for each in runs] == [
            ('k1', 1),
            ('k2', 1),
            ('k1', 2),
        ]
        assert runs[0]['method'] == 'pay'

    @pytest.mark.parametrize(
        ('fault', 'runs', 'crashed'),
        [
            ('lose_answer', 1, False),
            ('crash_before_run', 0, True),
            ('crash_after_run', 1, True),
        ],
    )
    def test_no_answer(self, fault, runs, crashed) -> None:
        """Run the call or not, by fault, and send no response."""
        crashes: list = []
        peer = self.start(crash=lambda: crashes.append(True))
        peer.order(fault)
        assert isinstance(self.pay(peer), HttpFailed)
        assert len(peer.call('GET', '/record')['runs']) == runs
        assert bool(crashes) is crashed
        assert self.pay(peer).status == 200

    def test_refusal_says_that_nothing_started(self) -> None:
        """Reject with the header and run nothing."""
        peer = self.start()
        peer.order('refuse_unstarted')
        reply = self.pay(peer)
        assert reply.status == 503
        assert find_header(reply.headers, 'x-not-started') == '1'
        assert not peer.call('GET', '/record')['runs']

    def test_run_outlasts_its_caller(self) -> None:
        """Run a call although its caller timed out."""
        peer = self.start(OrderSettings(delay_s=0.2))
        gone = peer.try_call('POST', '/pay', {}, timeout_s=0.05)
        assert isinstance(gone, HttpFailed)
        run_until(
            peer.loop,
            lambda: bool(peer.call('GET', '/record')['runs']),
        )

    def test_journal_outlasts_the_process(self, tmp_path) -> None:
        """Restore the runs of an earlier process."""
        settings = OrderSettings(delay_s=0, journal=tmp_path / 'runs')
        self.pay(self.start(settings))
        later = self.start(settings)
        self.pay(later)
        runs = later.call('GET', '/record')['runs']
        assert [each['count'] for each in runs] == [1, 2]

    def test_other_methods(self) -> None:
        """Reject methods other than POST."""
        assert self.start().try_call('GET', '/pay').status == 405


class TestRatingService:
    """Rate by the table, with noise that depends on the request."""

    def start(self):
        """Start a service with a small table."""
        table = (Quality('a@1', '', 0.9), Quality('a@1', 'chat', 0.4))
        return start_peer(RatingService, RatingSettings(table, 0.7, 0.05))

    def ask(self, **fields: str) -> RateAnswer:
        """Build a rating request."""
        known = {
            'request_id': 'r1',
            'version': 'a@1',
            'customer': 'c',
            'request_class': 'plan',
            'answer': 'fine',
        }
        return RateAnswer(**{**known, **fields})

    @pytest.mark.parametrize(
        ('fields', 'mean'),
        [
            ({}, 0.9),
            ({'request_class': 'chat'}, 0.4),
            ({'version': 'z@9'}, 0.7),
            ({'answer': f'{BAD_MARKER} x'}, 0.1),
        ],
    )
    def test_table(self, fields, mean) -> None:
        """Stay within the noise, and rate the same each time."""
        service, peer = self.start()
        asked = self.ask(**fields)
        score = peer.call('POST', '/rate', asked)['score']
        assert abs(score - mean) <= 0.05
        assert score == service.score(asked)

    def test_mean_over_many(self) -> None:
        """Average to the mean of the table."""
        service, _ = self.start()
        scores = [
            service.score(self.ask(request_id=str(number)))
            for number in range(500)
        ]
        assert abs(sum(scores) / len(scores) - 0.9) < 0.01
        assert len(set(scores)) == 500

    def test_bias_and_delay(self) -> None:
        """Shift one version and answer late."""
        service, peer = self.start()
        fair = service.score(self.ask())
        peer.order('biased', shift=-0.5, version='a@1')
        assert abs(service.score(self.ask()) - fair + 0.5) < 1e-9
        assert abs(service.score(self.ask(version='z@9')) - 0.7) <= 0.05
        peer.order('late', delay_ms=60_000)
        late = peer.try_call('POST', '/rate', self.ask(), timeout_s=0.1)
        assert isinstance(late, HttpFailed)

    def test_bad_question(self) -> None:
        """Reject a malformed rating request."""
        _, peer = self.start()
        assert peer.try_call('POST', '/rate', {}).status == 400


class TestHostList:
    """Serve the host list with a lag."""

    def test_change_shows_after_the_lag(self) -> None:
        """Serve the old state until the lag is over."""
        _, peer = start_peer(HostList, (ENGINE_HOST,), 0.3)
        peer.order('set_state', name='e1', state='leaving')
        before = peer.call('GET', '/hosts')
        assert before['hosts'][0]['state'] == 'live'
        run_until(
            peer.loop,
            lambda: peer.call('GET', '/hosts')['revision'] == 2,
        )
        after = peer.call('GET', '/hosts')
        assert after['hosts'][0]['state'] == 'leaving'

    def test_removed_host(self) -> None:
        """Remove a host from the list."""
        _, peer = start_peer(HostList, (ENGINE_HOST,), 0)
        peer.order('remove_host', name='e1')
        run_until(peer.loop, lambda: not peer.call('GET', '/hosts')['hosts'])

    def test_file(self, tmp_path) -> None:
        """Read the hosts from an INI file."""
        path = tmp_path / 'hosts.ini'
        path.write_text(
            '[host e1]\naddress = 127.0.0.1:9101\nzone = z1\nrole = engine\n',
        )
        assert read_host_file(path) == (ENGINE_HOST,)

    @pytest.mark.parametrize(
        ('text', 'named'),
        [
            ('[e1]\n', 'host NAME'),
            ('[host e1]\nzone = z\nrole = engine\n', 'missing key: address'),
            ('[host e1]\ncolour = red\n', 'unknown key: colour'),
            (
                '[host e1]\naddress = 1.2.3.4:5\nzone = z\nrole = x\n',
                'HostRole',
            ),
            ('[host e1]\naddress = x\nzone = z\nrole = engine\n', 'IP:PORT'),
            ('nonsense', 'section'),
        ],
    )
    def test_bad_file(self, tmp_path, text, named) -> None:
        """Name the error."""
        path = tmp_path / 'hosts.ini'
        path.write_text(text)
        with pytest.raises(HostFileError) as raised:
            read_host_file(path)
        assert named in str(raised.value)


class TestWeightStore:
    """Serve few fetches at once, which share the rate."""

    def test_fetches_over_the_bound_wait(self) -> None:
        """Reject with Retry-After and record the completed fetches."""
        settings = WeightSettings(1000, 5000, max_fetches=1)
        _, peer = start_peer(WeightStore, settings)
        fetch = {'version': 'a@1', 'engine': 'e1'}
        first = peer.stream('/fetch', fetch)
        refused = peer.try_call('POST', '/fetch', fetch)
        assert refused.status == 429
        assert find_header(refused.headers, 'Retry-After') == '1'
        run_until(peer.loop, lambda: first.ended)
        assert peer.call('POST', '/fetch', fetch)['size_bytes'] == 1000
        assert peer.call('GET', '/record')['fetched'] == [fetch, fetch]
