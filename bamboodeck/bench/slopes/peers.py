"""Measure heartbeats, status reports and messages between processes."""

import functools
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from bamboodeck.bench.slopes import samples
from bamboodeck.bench.slopes.plan import (
    BYTES,
    MICROSECONDS,
    CountedPlan,
    Plan,
    Subject,
    TimedPlan,
    Work,
)
from bamboodeck.bench.slopes.stand_ins import (
    CountingLink,
    StillScheduler,
    build_loop,
    build_silent_log,
    find_free_address,
    turn_until,
)
from bamboodeck.bench.slopes.wire import NODE, build_frame
from bamboodeck.configuration.replica import ConfigurationReplica
from bamboodeck.controller.zone import ZoneRelay
from bamboodeck.http.messages import Address
from bamboodeck.peers.feed import ConfigurationFeed
from bamboodeck.peers.fleet import FleetMap, FleetNode, FleetView
from bamboodeck.peers.link import PeerLink
from bamboodeck.peers.messages import (
    ConfigurationNews,
    FleetSummary,
    HeardZone,
    NodeException,
    NodeStatus,
    ZoneHeartbeat,
)
from bamboodeck.peers.reporter import NodeReporter
from bamboodeck.settings.process import PeerAddress, PeerRole

HOSTS_A_ZONE = 52
ZONE_COUNTS = (3, 9, 17, 25)
EXCEPTION_COUNTS = (0, 10, 50, 100)
HOST_COUNTS = (104, 312, 650, 1300)
MESSAGE_COUNTS = (50, 100, 200, 400)
BATCHED_COUNTS = (500, 1000, 2000, 4000)
PEER_COUNTS = (4, 8, 16, 32)
DOCUMENT_ENGINES = 480
REPEATED = 20
ZONES = 'zones'
HOSTS = 'hosts of the fleet'
MESSAGES = 'messages'
_SECRET = bytes(16)


def build_plans() -> tuple[Plan, ...]:
    """Return what is measured between processes."""
    return (*_plan_bytes(), *_plan_link(), *_plan_relay())


def _plan_bytes() -> tuple[Plan, ...]:
    return (
        CountedPlan(
            Subject(
                'status_bytes',
                'status reports of a node, a frame each',
                'reports',
                BYTES,
            ),
            (1, 2, 3),
            lambda count: count * len(build_frame(build_status())),
        ),
        CountedPlan(
            Subject(
                'heartbeat_bytes',
                'heartbeat of a zone',
                'exceptions',
                BYTES,
            ),
            EXCEPTION_COUNTS,
            lambda count: len(build_frame(build_heartbeat(0, count))),
        ),
        CountedPlan(
            Subject(
                'summary_bytes',
                'summary of the fleet for a node',
                ZONES,
                BYTES,
            ),
            ZONE_COUNTS,
            lambda zones: len(build_frame(build_summary(zones))),
        ),
    )


def _plan_link() -> tuple[Plan, ...]:
    return (
        TimedPlan(
            Subject(
                'peer_frame',
                'send and receive a frame over loopback, both ends',
                'frames',
                MICROSECONDS,
            ),
            MESSAGE_COUNTS,
            functools.partial(_prepare_frames, a_turn=1),
        ),
        TimedPlan(
            Subject(
                'peer_message',
                'send and receive messages that share frames of 50',
                MESSAGES,
                MICROSECONDS,
            ),
            BATCHED_COUNTS,
            functools.partial(_prepare_frames, a_turn=50),
        ),
        TimedPlan(
            Subject(
                'configuration_fanout',
                f'send a document of {DOCUMENT_ENGINES} engines to peers, '
                'both ends',
                'peers',
                MICROSECONDS,
            ),
            PEER_COUNTS,
            _prepare_fanout,
        ),
    )


def _plan_relay() -> tuple[Plan, ...]:
    return (
        TimedPlan(
            Subject(
                'summary_taken',
                'take in a summary of the fleet, without its frame',
                ZONES,
                MICROSECONDS,
            ),
            ZONE_COUNTS,
            _prepare_summary,
        ),
        TimedPlan(
            Subject(
                'relay_period',
                f'{REPEATED} rounds of a relay, without the frames',
                HOSTS,
                MICROSECONDS,
            ),
            HOST_COUNTS,
            _prepare_relay,
        ),
        TimedPlan(
            Subject(
                'role_check',
                f'{REPEATED} checks whether a controller is its relay',
                HOSTS,
                MICROSECONDS,
            ),
            HOST_COUNTS,
            _prepare_role_check,
        ),
        TimedPlan(
            Subject(
                'status_known',
                'list what is known of every node, for an operator',
                HOSTS,
                MICROSECONDS,
            ),
            HOST_COUNTS,
            _prepare_known,
        ),
        TimedPlan(
            Subject(
                'status_made',
                'status reports of a node, without their frames',
                'reports',
                MICROSECONDS,
            ),
            MESSAGE_COUNTS,
            _prepare_reports,
        ),
    )


def build_status() -> NodeStatus:
    """Build the report of a busy node."""
    return NodeStatus(
        'zone-00-host-17.entry-1',
        samples.REVISION,
        0.731,
        276,
        stopping=False,
    )


def build_heartbeat(zone: int, exceptions: int = 0) -> ZoneHeartbeat:
    """Build the heartbeat of a zone."""
    return ZoneHeartbeat(
        f'zone-{zone:02d}',
        f'zone-{zone:02d}-host-17.controller',
        987_654,
        samples.REVISION,
        0.731,
        2 * HOSTS_A_ZONE - exceptions,
        tuple(
            NodeException(
                f'zone-{zone:02d}-host-{number:02d}.entry-1',
                samples.REVISION - 1,
                5.25,
                stopping=False,
            )
            for number in range(exceptions)
        ),
    )


def build_summary(zones: int) -> FleetSummary:
    """Build a summary of quiet zones."""
    return FleetSummary(
        NODE,
        tuple(HeardZone(build_heartbeat(zone), 0.317) for zone in range(zones)),
    )


def build_fleet(hosts: int) -> FleetMap:
    """Build a fleet with an entry process and a controller a host."""
    nodes = [
        PeerAddress(
            f'zone-{host // HOSTS_A_ZONE:02d}-host-{host:04d}.{role.value}',
            f'zone-{host // HOSTS_A_ZONE:02d}',
            Address('10.20.30.40', 8000),
            role,
        )
        for host in range(1, hosts)
        for role in (PeerRole.ENTRY, PeerRole.CONTROLLER)
    ]
    own = FleetNode(
        'zone-00-host-0000.controller',
        samples.OWN_ZONE,
        PeerRole.CONTROLLER,
    )
    return FleetMap(own, nodes)


@contextmanager
def _open_links(peers: int) -> Iterator[tuple]:
    loop = build_loop()
    log = build_silent_log()
    there = find_free_address()
    sender = PeerLink(loop, log, NODE, find_free_address(), _SECRET)
    receiver = PeerLink(loop, log, 'receiver', there, _SECRET)
    for number in range(peers):
        sender.set_peer(f'receiver-{number}', there)
    try:
        yield loop, sender, receiver
    finally:
        sender.close()
        receiver.close()


def _prepare_frames(count: int, a_turn: int) -> Work:
    return functools.partial(_exchange, count, a_turn)


def _exchange(count: int, a_turn: int) -> None:
    status = build_status()
    with _open_links(1) as (loop, sender, receiver):
        heard: list = []
        receiver.on(NodeStatus, lambda who, what: heard.append(what))
        for sent in range(0, count, a_turn):
            for _ in range(a_turn):
                sender.send('receiver-0', status)
            turn_until(loop, _has_items(heard, sent + a_turn))


def _prepare_fanout(peers: int) -> Work:
    body = samples.build_body(DOCUMENT_ENGINES)
    return functools.partial(_fan_out, peers, body)


def _fan_out(peers: int, body: bytes) -> None:
    news = ConfigurationNews(samples.REVISION, body)
    with _open_links(peers) as (loop, sender, receiver):
        heard: list = []
        receiver.on(ConfigurationNews, lambda who, what: heard.append(who))
        for number in range(peers):
            sender.send(f'receiver-{number}', news)
        turn_until(loop, _has_items(heard, peers))


def _prepare_summary(zones: int) -> Work:
    fleet = build_fleet(2 * HOSTS_A_ZONE)
    link = CountingLink()
    scheduler = StillScheduler()
    replica = _build_replica()
    ConfigurationFeed(replica, link, scheduler, build_silent_log(), _ignore)
    NodeReporter(fleet, link, replica, scheduler, int)
    view = FleetView(fleet, scheduler.now_s)
    link.on(FleetSummary, lambda sender, summary: view.update(summary))
    ZoneRelay(fleet, link, replica, scheduler, int)
    return functools.partial(link.hand_in, NODE, build_summary(zones))


def _prepare_relay(hosts: int) -> Work:
    relay, link = _build_relay(hosts, fencing_number=1)
    return functools.partial(_repeat, relay.relay)


def _prepare_role_check(hosts: int) -> Work:
    relay, _ = _build_relay(hosts, fencing_number=0)
    return functools.partial(_repeat, lambda: relay.acting)


def _prepare_known(hosts: int) -> Work:
    view = FleetView(build_fleet(hosts), StillScheduler().now_s)
    view.update(build_summary(hosts // HOSTS_A_ZONE))
    return view.known_nodes


def _prepare_reports(count: int) -> Work:
    link = CountingLink()
    reporter = NodeReporter(
        build_fleet(2 * HOSTS_A_ZONE),
        link,
        _build_replica(),
        StillScheduler(),
        int,
    )
    link.hand_in(NODE, build_summary(1))
    return functools.partial(_repeat, reporter.report, count)


def _build_relay(hosts: int, fencing_number: int) -> tuple:
    fleet = build_fleet(hosts)
    link = CountingLink()
    relay = ZoneRelay(
        fleet,
        link,
        _build_replica(),
        StillScheduler(),
        lambda: fencing_number,
    )
    for node in fleet.in_zone():
        link.hand_in(node, build_status())
    for zone in range(1, hosts // HOSTS_A_ZONE):
        link.hand_in('peer', build_heartbeat(zone))
    return relay, link


def _build_replica() -> ConfigurationReplica:
    return samples.build_replica(samples.build_body(10))


def _repeat(work: Work, times: int = REPEATED) -> None:
    for _ in range(times):
        work()


def _has_items(heard: list, count: int) -> Callable[[], bool]:
    return lambda: len(heard) >= count


def _ignore(configuration: object) -> None:
    """Do nothing when a configuration comes into force."""
