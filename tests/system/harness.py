"""Run a whole deployment in one process, with one event loop per node."""

import io
import re
import time
import uuid
from collections.abc import Callable
from dataclasses import dataclass
from importlib.resources import files

import msgspec

from bamboodeck.controller.app import ControllerApp
from bamboodeck.entry.app import EntryApp
from bamboodeck.environment import Environment
from bamboodeck.fakes.engine.messages import EngineSettings
from bamboodeck.fakes.engine.server import ModelEngine
from bamboodeck.fakes.host_list import HostList
from bamboodeck.fakes.key_value.server import KeyValueService, KeyValueSettings
from bamboodeck.fakes.links import Links, Route
from bamboodeck.fakes.orders import OrderService, OrderSettings
from bamboodeck.fakes.rating import RatingService, RatingSettings
from bamboodeck.fakes.weights import WeightSettings, WeightStore
from bamboodeck.http.client import HttpClient
from bamboodeck.http.messages import (
    Address,
    Header,
    HttpCall,
    HttpOutcome,
    HttpReply,
)
from bamboodeck.logs import build_event_log
from bamboodeck.loop.program import Loop
from bamboodeck.external.host_list import Host, HostRole, HostState
from bamboodeck.settings.process import (
    parse_controller_settings,
    parse_entry_settings,
)
from tests.http.looping import build_loop
from tests.ports import find_free_address
from tests.steady_clock import SteadyClock

UNTIL_TIMEOUT_S = 30.0
FOLD_PERIOD_S = 0.5
# High enough for the caller's `max_tokens` to set the answer's length.
MAX_ANSWER_TOKENS = 20_000
# Fetching the weights of a version takes 0.2 s.
WEIGHT_BYTES_PER_S = 500_000_000
ADMIN_KEY = 'admin-key-1'
BOOTSTRAP = '81d5958ea2799a62716f71aa7e3c2f275f31e9d8a1908e785838a10b00fbaa4c'
SECRET = '736563726574' * 4
ZONES = ('flanders-a', 'wallonia-a', 'brussels-a')
ENGINE_PORTS = (7401, 7402, 7403, 7404, 7405, 7406)
ANY_PORT = Address('127.0.0.1', 0)


def build_order_key() -> str:
    """Build a UUIDv7 with the current time."""
    number = uuid.uuid4().int & ((1 << 80) - 1)
    number &= ~(0xF << 76) & ~(0x3 << 62)
    now_ms = int(time.time() * 1000)
    return str(uuid.UUID(int=now_ms << 80 | 7 << 76 | 2 << 62 | number))


def read_error(answer: HttpReply) -> dict[str, str]:
    """Return the error object of a refusal."""
    return msgspec.json.decode(answer.body)['error']


@dataclass(frozen=True)
class HostAddresses:
    """Addresses of the entry and controller processes of one host."""

    number: int
    zone: str
    callers: Address
    admin: Address
    entry_peers: Address
    controller_peers: Address
    health: Address

    @property
    def name(self) -> str:
        """Return the name of the host."""
        return f'host{self.number}'


class System:
    """Run the fakes and the nodes of a small deployment."""

    def __init__(
        self,
        zones: int = 3,
        hosts_per_zone: int = 2,
        source_s: Callable[[], float] = time.monotonic,
    ) -> None:
        """Start the fakes and every node, on a clock that follows another."""
        self.now_s = SteadyClock(source_s).read_s
        self._environment = Environment(monotonic_s=self.now_s)
        self.log_stream = io.StringIO()
        self.log = build_event_log(self.log_stream)
        self.fakes_loop = build_loop(self._environment)
        self.client = HttpClient(self.fakes_loop)
        self.loops: dict[str, Loop] = {}
        self.frozen: set[str] = set()
        self.cut_from_peers: set[str] = set()
        self.entries: dict[str, EntryApp] = {}
        self.controllers: dict[str, ControllerApp] = {}
        self._build_stand_ins(zones)
        self.host_addresses = [
            self._build_host_addresses(number, ZONES[number // hosts_per_zone])
            for number in range(zones * hosts_per_zone)
        ]
        for host in self.host_addresses:
            self.start_host(host)

    def tick(self) -> None:
        """Run one iteration of every loop that is not frozen."""
        self.fakes_loop.tick(0.001)
        for name, loop in list(self.loops.items()):
            if name not in self.frozen:
                loop.tick(0)

    def until(self, happened: Callable[[], bool]) -> None:
        """Run the loops until a condition holds; fail on timeout."""
        give_up_s = self.now_s() + UNTIL_TIMEOUT_S
        while not happened():
            assert self.now_s() < give_up_s, self.log_stream.getvalue()
            self.tick()

    def start_host(self, host: HostAddresses) -> None:
        """Start the entry and the controller process of a host."""
        self.start_controller(host)
        self.start_entry(host)

    def start_entry(self, host: HostAddresses) -> None:
        """Start the entry process of a host."""
        text = self._write_entry_settings(host)
        settings = parse_entry_settings(text, 'test')
        app = EntryApp(self._environment, settings, self.log, raising=True)
        app.start()
        self._register(settings.node, app)
        self.entries[host.name] = app

    def start_controller(self, host: HostAddresses) -> None:
        """Start the controller process of a host."""
        text = self._write_controller_settings(host)
        settings = parse_controller_settings(text, 'test')
        app = ControllerApp(
            self._environment,
            settings,
            self.log,
            raising=True,
            fold_period_s=FOLD_PERIOD_S,
        )
        app.start()
        self._register(settings.node, app)
        self.controllers[host.name] = app

    def kill(self, node: str) -> None:
        """Stop a node abruptly, as SIGKILL does."""
        self.loops.pop(node)
        self.frozen.discard(node)
        host, role = node.split('.')
        apps = self.entries if role == 'entry' else self.controllers
        app = apps.pop(host)
        app.server.server.stop_accepting()
        for connection in list(app.server.http.connections):
            connection.sock.close()
        if role == 'entry':
            app.admin_server.server.stop_accepting()
        app.client.close()
        app.link._inbox.close()
        for sender in app.link._senders.values():
            sender.close()

    def stop(self, node: str) -> None:
        """Stop a node gracefully, as SIGTERM does, and wait for its end."""
        host, role = node.split('.')
        apps = self.entries if role == 'entry' else self.controllers
        app = apps.pop(host)
        app.stop()
        self.until(lambda: not app.loop.running)
        self.loops.pop(node)

    def restart(self, host: HostAddresses) -> None:
        """Restart both processes of a host gracefully."""
        self.stop(f'{host.name}.entry')
        self.start_entry(host)
        self.until(self.entries[host.name].is_ready)
        self.stop(f'{host.name}.controller')
        self.start_controller(host)

    def count_billed(self) -> dict[str, int]:
        """Count the billed requests of each customer."""
        reply = self.call_admin('GET', '/admin/v1/bills')
        assert reply.status == 200, reply.body
        billed: dict[str, int] = {}
        for row in msgspec.json.decode(reply.body)['bills']:
            customer = row['customer']
            billed[customer] = billed.get(customer, 0) + row['requests']
        return billed

    def wait_for_bills(self, expected: dict[str, int]) -> None:
        """Wait for the expected bills and check that no others follow."""
        self.until(
            lambda: sum(self.count_billed().values()) >= sum(expected.values()),
        )
        self.run_for(3 * FOLD_PERIOD_S)
        assert self.count_billed() == expected

    def configure(self, edit: Callable[[str], str] = str) -> None:
        """Apply the edited example configuration and wait for readiness."""
        body = {
            'text': edit(self._write_configuration()),
            'change_id': 'c1',
            'expected_revision': 0,
        }
        answer = self.call_admin('POST', '/admin/v1/configuration', body)
        assert answer.status == 200, answer.body
        self.until(
            lambda: all(
                app.is_ready() and app.replica.age_s(self.now_s()) < 60
                for app in self.entries.values()
            ),
        )

    def call_admin(self, method: str, path: str, body=None) -> HttpReply:
        """Call the administration API of the first entry host."""
        return self.call(
            self.host_addresses[0].admin,
            method,
            path,
            body,
            {'Authorization': f'Bearer {ADMIN_KEY}'},
        )

    def ask(self, host: HostAddresses, key: str, **options) -> HttpReply:
        """Send a chat request and wait for its whole answer."""
        outcome = self.wait(self.send_chat(host, key, **options))
        assert isinstance(outcome, HttpReply), outcome
        return outcome

    def send_chat(
        self,
        host: HostAddresses,
        key: str,
        headers: dict[str, str] | None = None,
        **body,
    ) -> list[HttpOutcome]:
        """Send a chat request; the outcome is added to the list returned."""
        message = {'role': 'user', 'content': body.pop('text', 'Hello')}
        return self.send(
            host.callers,
            'POST',
            '/v1/chat/completions',
            {'messages': [message], 'max_tokens': 12, **body},
            {'Authorization': f'Bearer {key}', **(headers or {})},
        )

    def call(self, *request) -> HttpReply:
        """Send a call and wait for its answer."""
        outcome = self.wait(self.send(*request))
        assert isinstance(outcome, HttpReply), outcome
        return outcome

    def wait(self, outcomes: list[HttpOutcome]) -> HttpOutcome:
        """Run the loops until there is an outcome."""
        self.until(lambda: bool(outcomes))
        return outcomes[0]

    def send(
        self,
        address: Address,
        method: str,
        path: str,
        body=None,
        headers: dict[str, str] | None = None,
    ) -> list[HttpOutcome]:
        """Send a call; the outcome is added to the list returned."""
        outcomes: list[HttpOutcome] = []
        self.client.send(
            HttpCall(
                address,
                method,
                path,
                b'' if body is None else msgspec.json.encode(body),
                tuple(Header(*each) for each in (headers or {}).items()),
                timeout_s=30,
            ),
            outcomes.append,
            fresh_connection=True,
        )
        return outcomes

    def pay(self, host: HostAddresses, key: str) -> HttpReply:
        """Send a payment and wait for its answer."""
        outcome = self.wait(self.send_payment(host, key))
        assert isinstance(outcome, HttpReply), outcome
        return outcome

    def send_payment(self, host: HostAddresses, key: str) -> list[HttpOutcome]:
        """Send a payment; the outcome is added to the list returned."""
        return self.send(
            host.callers,
            'POST',
            '/v1/services/orders/take-payment',
            {'amount_cents': 100},
            {
                'Authorization': 'Bearer school-key-1',
                'Idempotency-Key': key,
            },
        )

    def count_runs(self, key: str) -> int:
        """Count the runs of a key in the order service's journal."""
        return sum(run.key == key for run in self.orders.journal.runs)

    def inject_fault(self, stand_in, fault: dict) -> None:
        """Inject a fault into a fake, or clear its faults."""
        address = stand_in.stand_in.address
        answer = self.call(address, 'POST', '/control', fault)
        assert answer.status == 200, answer.body

    def cut_from_platform(self, zone: str) -> None:
        """Partition a zone's nodes from the key-value service."""
        self._set_link(zone, 'cut')

    def rejoin_platform(self, zone: str) -> None:
        """End the partition of a zone from the key-value service."""
        self._set_link(zone, 'up')

    def is_cut(self, node: str, peer: str) -> bool:
        """Return whether messages between two nodes are dropped."""
        zones = {self.zone_of(node), self.zone_of(peer)}
        return len(zones) > 1 and bool(zones & self.cut_from_peers)

    def zone_of(self, node: str) -> str:
        """Return the zone of a node."""
        host = node.partition('.')[0]
        return next(
            each.zone for each in self.host_addresses if each.name == host
        )

    def run_for(self, duration_s: float) -> None:
        """Run the loops for some seconds."""
        end_s = self.now_s() + duration_s
        self.until(lambda: self.now_s() >= end_s)

    def revisions(self) -> set[int]:
        """Return the revisions in force on all nodes."""
        apps = (*self.entries.values(), *self.controllers.values())
        return {app.replica.revision for app in apps}

    def _set_link(self, zone: str, state: str) -> None:
        self.inject_fault(
            self.links,
            {'fault': 'set_link', 'name': zone, 'state': state},
        )

    def _register(self, node: str, app: EntryApp | ControllerApp) -> None:
        app.loop._running = True
        self.loops[node] = app.loop
        self.frozen.discard(node)
        send_frame = app.link._send_frame

        def send_unless_cut(peer: str, messages) -> None:
            if not self.is_cut(node, peer):
                send_frame(peer, messages)

        app.link._send_frame = send_unless_cut

    def _build_stand_ins(self, zones: int) -> None:
        self.store = KeyValueService(
            self.fakes_loop,
            ANY_PORT,
            KeyValueSettings(writes_per_s=5000, reads_per_s=20000),
            self.log,
        )
        self._link_addresses = {
            zone: find_free_address() for zone in ZONES[:zones]
        }
        self.links = Links(
            self.fakes_loop,
            ANY_PORT,
            tuple(
                Route(zone, address, self.store.stand_in.address)
                for zone, address in self._link_addresses.items()
            ),
            self.log,
        )
        self.rating = RatingService(
            self.fakes_loop,
            ANY_PORT,
            RatingSettings(default_score=0.95, noise=0),
            self.log,
        )
        self.orders = OrderService(
            self.fakes_loop,
            ANY_PORT,
            OrderSettings(delay_s=0.01),
            self.log,
        )
        self.engines = [
            self._build_engine(number) for number in range(2 * zones)
        ]
        self.host_list = self._build_host_list()
        self.weights = WeightStore(
            self.fakes_loop,
            ANY_PORT,
            WeightSettings(rate_bytes_per_s=WEIGHT_BYTES_PER_S),
            self.log,
        )

    def _build_host_list(self) -> HostList:
        hosts = [
            Host(
                f'engine-{number}',
                str(engine.stand_in.address),
                'flanders-a',
                HostRole.ENGINE,
                HostState.LIVE,
            )
            for number, engine in enumerate(self.engines)
        ]
        return HostList(self.fakes_loop, ANY_PORT, tuple(hosts), 0.1, self.log)

    def _build_engine(self, number: int) -> ModelEngine:
        versions = ('small@1', 'small@2')
        if number % 2:
            versions = ('small@1', 'medium@1', 'large@1', 'large@2')
        return ModelEngine(
            self.fakes_loop,
            ANY_PORT,
            EngineSettings(
                f'engine-{number}',
                versions,
                first_token_s=0.005,
                token_s=0.002,
                load_lag_s=0,
                answer_tokens=MAX_ANSWER_TOKENS,
            ),
            self.log,
            crash=lambda: self.crash_engine(number),
        )

    def crash_engine(self, number: int) -> None:
        """Stop an engine abruptly, as a crash of its process does."""
        server = self.engines[number].stand_in.server
        server.server.stop_accepting()
        for connection in list(server.http.connections):
            connection.abort()

    def _build_host_addresses(self, number: int, zone: str) -> HostAddresses:
        addresses = [find_free_address() for _ in range(5)]
        return HostAddresses(number, zone, *addresses)

    def _write_configuration(self) -> str:
        example = files('bamboodeck.configuration') / 'example.ini'
        text = example.read_text()
        text = text.replace(
            '127.0.0.1:7501',
            str(self.orders.stand_in.address),
        )
        addresses = [engine.stand_in.address for engine in self.engines]
        # Addresses of engines without a fake must not be those of a demo.
        while len(addresses) < len(ENGINE_PORTS):
            addresses.append(find_free_address())
        for port, address in zip(ENGINE_PORTS, addresses, strict=False):
            text = text.replace(f'127.0.0.1:{port}', str(address))
        return re.sub('requests_per_s = .*', 'requests_per_s = 10000', text)

    def _write_entry_settings(self, host: HostAddresses) -> str:
        return (
            f'{self._write_process(host, "entry")}'
            f'bootstrap_key_sha256 = {BOOTSTRAP}\n'
            f'[listen]\ncallers = {host.callers}\nadmin = {host.admin}\n'
            f'peers = {host.entry_peers}\n'
            f'{self._write_platform(host)}'
            f'{self._write_peers(host, "entry")}'
        )

    def _write_controller_settings(self, host: HostAddresses) -> str:
        return (
            f'{self._write_process(host, "controller")}'
            f'[listen]\nhealth = {host.health}\n'
            f'peers = {host.controller_peers}\n'
            f'{self._write_platform(host)}'
            f'weight_store = {self.weights.stand_in.address}\n'
            f'{self._write_peers(host, "controller")}'
            '[limits]\nlease_ttl_s = 3\n'
        )

    def _write_process(self, host: HostAddresses, role: str) -> str:
        region = host.zone.removesuffix('-a')
        return (
            f'[process]\nnode = {host.name}.{role}\nregion = {region}\n'
            f'zone = {host.zone}\npeer_secret_hex = {SECRET}\n'
        )

    def _write_platform(self, host: HostAddresses) -> str:
        return (
            f'[platform]\nkey_value = {self._link_addresses[host.zone]}\n'
            f'rating = {self.rating.stand_in.address}\n'
            f'host_list = {self.host_list.stand_in.address}\n'
        )

    def _write_peers(self, own: HostAddresses, own_role: str) -> str:
        lines = ['[peers]']
        for host in self.host_addresses:
            addresses = {
                'entry': host.entry_peers,
                'controller': host.controller_peers,
            }
            for role, address in addresses.items():
                if host is own and role == own_role:
                    continue
                lines.append(
                    f'{host.name}.{role} = {host.zone} {address} {role}',
                )
        return '\n'.join([*lines, ''])
