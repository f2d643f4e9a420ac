"""Run the whole system in one process: a loop a node, turned by the test."""

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

PATIENCE_S = 30.0
FOLD_PERIOD_S = 0.5
# Answers are as long as the caller's `max_tokens` allows.
LONGEST_ANSWER = 20_000
# The weights of a version take 0.2 s.
WEIGHT_BYTES_PER_S = 500_000_000
ADMIN_KEY = 'admin-key-1'
BOOTSTRAP = '81d5958ea2799a62716f71aa7e3c2f275f31e9d8a1908e785838a10b00fbaa4c'
SECRET = '736563726574' * 4
ZONES = ('flanders-a', 'wallonia-a', 'brussels-a')
ENGINE_PORTS = (7401, 7402, 7403, 7404, 7405, 7406)
ANY_PORT = Address('127.0.0.1', 0)


def build_order_key() -> str:
    """Build a UUIDv7 of now."""
    number = uuid.uuid4().int & ((1 << 80) - 1)
    number &= ~(0xF << 76) & ~(0x3 << 62)
    now_ms = int(time.time() * 1000)
    return str(uuid.UUID(int=now_ms << 80 | 7 << 76 | 2 << 62 | number))


def read_error(answer: HttpReply) -> dict[str, str]:
    """Return the error of an answer."""
    return msgspec.json.decode(answer.body)['error']


@dataclass(frozen=True)
class Place:
    """Hold the addresses of one entry host."""

    number: int
    zone: str
    callers: Address
    admin: Address
    entry_peers: Address
    controller_peers: Address
    health: Address

    @property
    def host(self) -> str:
        """Name the host."""
        return f'host{self.number}'


class System:
    """Own the stand-ins and the nodes of a small deployment."""

    def __init__(self, zones: int = 3, hosts_per_zone: int = 2) -> None:
        """Start the stand-ins and every node."""
        self.log_stream = io.StringIO()
        self.log = build_event_log(self.log_stream)
        self.world = build_loop()
        self.client = HttpClient(self.world)
        self.loops: dict[str, Loop] = {}
        self.frozen: set[str] = set()
        self.cut_from_peers: set[str] = set()
        self.entries: dict[str, EntryApp] = {}
        self.controllers: dict[str, ControllerApp] = {}
        self._build_stand_ins(zones)
        self.places = [
            self._build_place(number, ZONES[number // hosts_per_zone])
            for number in range(zones * hosts_per_zone)
        ]
        for place in self.places:
            self.start_host(place)

    def turn(self) -> None:
        """Turn every loop that isn't frozen once."""
        self.world.tick(0.001)
        for name, loop in list(self.loops.items()):
            if name not in self.frozen:
                loop.tick(0)

    def until(self, happened: Callable[[], bool]) -> None:
        """Turn until the condition holds."""
        give_up_s = time.monotonic() + PATIENCE_S
        while not happened():
            assert time.monotonic() < give_up_s, self.log_stream.getvalue()
            self.turn()

    def start_host(self, place: Place) -> None:
        """Start the entry and the controller process of a host."""
        self.start_controller(place)
        self.start_entry(place)

    def start_entry(self, place: Place) -> None:
        """Start the entry process of a host."""
        text = self._write_entry_settings(place)
        settings = parse_entry_settings(text, 'test')
        app = EntryApp(Environment(), settings, self.log, raising=True)
        app.start()
        self._adopt(settings.node, app)
        self.entries[place.host] = app

    def start_controller(self, place: Place) -> None:
        """Start the controller process of a host."""
        text = self._write_controller_settings(place)
        settings = parse_controller_settings(text, 'test')
        app = ControllerApp(
            Environment(),
            settings,
            self.log,
            raising=True,
            fold_period_s=FOLD_PERIOD_S,
        )
        app.start()
        self._adopt(settings.node, app)
        self.controllers[place.host] = app

    def kill(self, node: str) -> None:
        """End a node at once, as SIGKILL does."""
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
        """End a node as SIGTERM does, and wait until it has ended."""
        host, role = node.split('.')
        apps = self.entries if role == 'entry' else self.controllers
        app = apps.pop(host)
        app.stop()
        self.until(lambda: not app.loop.running)
        self.loops.pop(node)

    def restart(self, place: Place) -> None:
        """Restart both processes of a host gracefully."""
        self.stop(f'{place.host}.entry')
        self.start_entry(place)
        self.until(self.entries[place.host].is_ready)
        self.stop(f'{place.host}.controller')
        self.start_controller(place)

    def count_billed(self) -> dict[str, int]:
        """Count the billed requests of each customer."""
        reply = self.operate('GET', '/admin/v1/bills')
        assert reply.status == 200, reply.body
        billed: dict[str, int] = {}
        for row in msgspec.json.decode(reply.body)['bills']:
            customer = row['customer']
            billed[customer] = billed.get(customer, 0) + row['requests']
        return billed

    def wait_for_bills(self, expected: dict[str, int]) -> None:
        """Wait until as many bills are stored, and see that no more come."""
        self.until(
            lambda: sum(self.count_billed().values()) >= sum(expected.values()),
        )
        self.pass_time(3 * FOLD_PERIOD_S)
        assert self.count_billed() == expected

    def configure(self, edit: Callable[[str], str] = str) -> None:
        """Apply the example configuration, edited, and wait for it."""
        body = {
            'text': edit(self._write_configuration()),
            'change_id': 'c1',
            'expected_revision': 0,
        }
        answer = self.operate('POST', '/admin/v1/configuration', body)
        assert answer.status == 200, answer.body
        self.until(
            lambda: all(
                app.is_ready() and app.keeper.age_s(time.monotonic()) < 60
                for app in self.entries.values()
            ),
        )

    def operate(self, method: str, path: str, body=None) -> HttpReply:
        """Call the administration API of the first entry host."""
        return self.call(
            self.places[0].admin,
            method,
            path,
            body,
            {'Authorization': f'Bearer {ADMIN_KEY}'},
        )

    def ask(self, place: Place, key: str, **options) -> HttpReply:
        """Send a chat request and wait for its whole answer."""
        outcome = self.wait(self.send_chat(place, key, **options))
        assert isinstance(outcome, HttpReply), outcome
        return outcome

    def send_chat(
        self,
        place: Place,
        key: str,
        headers: dict[str, str] | None = None,
        **body,
    ) -> list[HttpOutcome]:
        """Send a chat request; the outcome is added to the list returned."""
        message = {'role': 'user', 'content': body.pop('text', 'Hello')}
        return self.send(
            place.callers,
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
        """Turn until an outcome has come."""
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

    def pay(self, place: Place, key: str) -> HttpReply:
        """Send a payment and wait for its answer."""
        outcome = self.wait(self.send_payment(place, key))
        assert isinstance(outcome, HttpReply), outcome
        return outcome

    def send_payment(self, place: Place, key: str) -> list[HttpOutcome]:
        """Send a payment; the outcome is added to the list returned."""
        return self.send(
            place.callers,
            'POST',
            '/v1/services/orders/take-payment',
            {'amount_cents': 100},
            {
                'Authorization': 'Bearer school-key-1',
                'Idempotency-Key': key,
            },
        )

    def count_runs(self, key: str) -> int:
        """Count the runs of a key in the order service's own record."""
        return sum(run.key == key for run in self.orders.journal.runs)

    def control(self, stand_in, fault: dict) -> None:
        """Give a stand-in a fault order."""
        address = stand_in.stand_in.address
        answer = self.call(address, 'POST', '/control', fault)
        assert answer.status == 200, answer.body

    def cut_from_platform(self, zone: str) -> None:
        """Cut the zone's nodes from the key-value service."""
        self._set_link(zone, 'cut')

    def join_platform(self, zone: str) -> None:
        """End a cut of the zone from the key-value service."""
        self._set_link(zone, 'up')

    def is_cut(self, node: str, peer: str) -> bool:
        """Tell whether zones between which messages are lost lie between."""
        zones = {self.zone_of(node), self.zone_of(peer)}
        return len(zones) > 1 and bool(zones & self.cut_from_peers)

    def zone_of(self, node: str) -> str:
        """Return the zone of a node."""
        host = node.partition('.')[0]
        return next(each.zone for each in self.places if each.host == host)

    def pass_time(self, duration_s: float) -> None:
        """Turn for some seconds."""
        end_s = time.monotonic() + duration_s
        self.until(lambda: time.monotonic() >= end_s)

    def revisions(self) -> set[int]:
        """Return the revisions in force on all nodes."""
        apps = (*self.entries.values(), *self.controllers.values())
        return {app.keeper.revision for app in apps}

    def _set_link(self, zone: str, state: str) -> None:
        self.control(
            self.links,
            {'fault': 'set_link', 'name': zone, 'state': state},
        )

    def _adopt(self, node: str, app: EntryApp | ControllerApp) -> None:
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
            self.world,
            ANY_PORT,
            KeyValueSettings(writes_per_s=5000, reads_per_s=20000),
            self.log,
        )
        self._link_addresses = {
            zone: find_free_address() for zone in ZONES[:zones]
        }
        self.links = Links(
            self.world,
            ANY_PORT,
            tuple(
                Route(zone, address, self.store.stand_in.address)
                for zone, address in self._link_addresses.items()
            ),
            self.log,
        )
        self.rating = RatingService(
            self.world,
            ANY_PORT,
            RatingSettings(default_score=0.95, noise=0),
            self.log,
        )
        self.orders = OrderService(
            self.world,
            ANY_PORT,
            OrderSettings(delay_s=0.01),
            self.log,
        )
        self.engines = [
            self._build_engine(number) for number in range(2 * zones)
        ]
        self.hosts = self._build_host_list()
        self.weights = WeightStore(
            self.world,
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
        return HostList(self.world, ANY_PORT, tuple(hosts), 0.1, self.log)

    def _build_engine(self, number: int) -> ModelEngine:
        versions = ('small@1', 'small@2')
        if number % 2:
            versions = ('small@1', 'medium@1', 'large@1', 'large@2')
        return ModelEngine(
            self.world,
            ANY_PORT,
            EngineSettings(
                f'engine-{number}',
                versions,
                first_token_s=0.005,
                token_s=0.002,
                load_lag_s=0,
                answer_tokens=LONGEST_ANSWER,
            ),
            self.log,
            crash=lambda: self.crash_engine(number),
        )

    def crash_engine(self, number: int) -> None:
        """End an engine as its process would end."""
        server = self.engines[number].stand_in.server
        server.server.stop_accepting()
        for connection in list(server.http.connections):
            connection.abort()

    def _build_place(self, number: int, zone: str) -> Place:
        addresses = [find_free_address() for _ in range(5)]
        return Place(number, zone, *addresses)

    def _write_configuration(self) -> str:
        example = files('bamboodeck.configuration') / 'example.ini'
        text = example.read_text()
        text = text.replace(
            '127.0.0.1:7501',
            str(self.orders.stand_in.address),
        )
        addresses = [engine.stand_in.address for engine in self.engines]
        # Engines without a stand-in must not reach those of a demo.
        while len(addresses) < len(ENGINE_PORTS):
            addresses.append(find_free_address())
        for port, address in zip(ENGINE_PORTS, addresses, strict=False):
            text = text.replace(f'127.0.0.1:{port}', str(address))
        return re.sub('requests_per_s = .*', 'requests_per_s = 10000', text)

    def _write_entry_settings(self, place: Place) -> str:
        return (
            f'{self._write_process(place, "entry")}'
            f'bootstrap_key_sha256 = {BOOTSTRAP}\n'
            f'[listen]\ncallers = {place.callers}\nadmin = {place.admin}\n'
            f'peers = {place.entry_peers}\n'
            f'{self._write_platform(place)}'
            f'{self._write_peers(place, "entry")}'
        )

    def _write_controller_settings(self, place: Place) -> str:
        return (
            f'{self._write_process(place, "controller")}'
            f'[listen]\nhealth = {place.health}\n'
            f'peers = {place.controller_peers}\n'
            f'{self._write_platform(place)}'
            f'weight_store = {self.weights.stand_in.address}\n'
            f'{self._write_peers(place, "controller")}'
            '[limits]\nlease_ttl_s = 3\n'
        )

    def _write_process(self, place: Place, role: str) -> str:
        region = place.zone.removesuffix('-a')
        return (
            f'[process]\nnode = {place.host}.{role}\nregion = {region}\n'
            f'zone = {place.zone}\npeer_secret_hex = {SECRET}\n'
        )

    def _write_platform(self, place: Place) -> str:
        return (
            f'[platform]\nkey_value = {self._link_addresses[place.zone]}\n'
            f'rating = {self.rating.stand_in.address}\n'
            f'host_list = {self.hosts.stand_in.address}\n'
        )

    def _write_peers(self, own: Place, own_role: str) -> str:
        lines = ['[peers]']
        for place in self.places:
            addresses = {
                'entry': place.entry_peers,
                'controller': place.controller_peers,
            }
            for role, address in addresses.items():
                if place is own and role == own_role:
                    continue
                lines.append(
                    f'{place.host}.{role} = {place.zone} {address} {role}',
                )
        return '\n'.join([*lines, ''])
