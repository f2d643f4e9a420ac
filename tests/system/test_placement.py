"""Test that versions come to where they are asked for, whatever fails.

Each test was seen to fail without what it is about: without the check of the
lease, of withdrawal, of leaving engines and of the last copy.
"""

import re
from collections.abc import Callable
from dataclasses import replace

import msgspec
import pytest

from bamboodeck.configuration.model import VersionState
from bamboodeck.fakes.engine.messages import EngineOrder
from bamboodeck.http.messages import HttpReply
from tests.system.harness import System, read_error

OFFICE_KEY = 'school-key-2'
MEDIUM = 'medium@1'
SMALL = 'small@1'
NEW = 'small@2'
MANAGED = (SMALL, NEW, MEDIUM, 'large@2')
LARGE = 'large@2'
SESSION = 'x-bamboodeck-session'
FIRST, SECOND = 0, 1
Held = tuple[tuple[str, ...], ...]
MAX_ASKED = 90
OTHER_ENGINES = re.compile(
    r'\[engine (?:wallonia|brussels)[^[]*',
)
DECIDED = re.compile('placement_decided .*')


def edit_placement(
    text: str,
    slots: tuple[int, int] = (3, 4),
    bounds: str = '',
) -> str:
    """Give the engines of the first zone slots, and versions bounds."""
    for number, count in enumerate(slots, start=1):
        address = f'[engine flanders-{number}]\n'
        text = text.replace(address, f'{address}slots = {count}\n')
    # Engines of other zones don't run, and others may have their ports.
    text = OTHER_ENGINES.sub('', text)
    sections = [f'[placement {version}]\n{bounds}' for version in MANAGED]
    return '\n'.join([text, *sections])


def start(
    slots: tuple[int, int] = (3, 4),
    held: Held = (),
    hosts: int = 1,
    capacity: int = 8,
) -> System:
    """Start one zone; `held` replaces what the engines hold."""
    system = System(zones=1, hosts_per_zone=hosts)
    for number, versions in enumerate(held):
        system.engines[number].versions = list(versions)

    def edit(text: str) -> str:
        text = text.replace(
            'capacity_streams = 8',
            f'capacity_streams = {capacity}',
        )
        for number, versions in enumerate(held):
            text = set_versions(text, number, versions)
        return edit_placement(text, slots)

    system.configure(edit)
    return system


def set_versions(text: str, number: int, versions) -> str:
    """Let the configuration list what an engine holds."""
    title = f'[engine flanders-{number + 1}]'
    head, _, tail = text.partition(title)
    line = f'versions = {", ".join(versions)}'
    tail = re.sub('versions = .*', line, tail, count=1)
    return f'{head}{title}{tail}'


def ask(system: System, version: str, **options) -> HttpReply:
    """Ask for a version."""
    return system.ask(system.places[0], OFFICE_KEY, model=version, **options)


def ask_until(
    system: System,
    version: str,
    happened: Callable[[HttpReply], bool],
    *,
    hurried: bool = True,
) -> int:
    """Ask now and then; return how often there was no engine before.

    A hurried node reports its demand before the report is due.
    """
    for refused in range(MAX_ASKED):
        answer = ask(system, version)
        if hurried:
            for app in system.entries.values():
                app.guidance.demand.report()
        if happened(answer):
            return refused
        if answer.status != 200:
            assert read_error(answer)['code'] == 'no_engine'
            assert read_error(answer)['run'] == 'not-run'
        system.pass_time(0.3)
    raise AssertionError(system.log_stream.getvalue())


def keep_asking(system: System, version: str) -> int:
    """Ask until the version answers; return how often it was refused."""
    return ask_until(system, version, lambda answer: answer.status == 200)


def holds(system: System, number: int, version: str) -> bool:
    """Tell whether an engine holds a version."""
    return version in system.engines[number].versions


def orders(system: System, number: int) -> list[EngineOrder]:
    """Return the orders that an engine obeyed."""
    return system.engines[number].record.orders


def all_orders(system: System) -> list[EngineOrder]:
    """Return the orders that any engine obeyed."""
    return [order for each in (FIRST, SECOND) for order in orders(system, each)]


def wait_for_decision(system: System) -> None:
    """Ask until an order for the version is given."""
    ask_until(
        system,
        MEDIUM,
        lambda _: logged(system, 'placement_decided'),
    )


def find_holder(system: System) -> str:
    """Return the host whose controller holds the zone's lease."""
    system.until(lambda: bool(list_holders(system)))
    return list_holders(system)[0]


def list_holders(system: System) -> list[str]:
    """Return the hosts whose controllers hold the zone's lease."""
    return [
        host
        for host, app in system.controllers.items()
        if app._fencing_number()
    ]


def logged(system: System, event: str) -> bool:
    """Tell whether an event was logged."""
    return f'event={event} ' in system.log_stream.getvalue()


WITHOUT_MEDIUM = ((SMALL, NEW), (SMALL, 'large@1', 'large@2'))


class TestDemand:
    """Load what is asked for."""

    def test_version_that_no_engine_holds(self) -> None:
        """Refuse with "not run" until the version is loaded, then answer."""
        system = start(held=WITHOUT_MEDIUM)
        assert ask_until(
            system,
            MEDIUM,
            lambda answer: answer.status == 200,
            hurried=False,
        )
        answer = system.operate('GET', '/admin/v1/placement')
        rows = msgspec.json.decode(answer.body)['engines']
        holders = [each for each in rows if MEDIUM in each['versions']]
        assert len(holders) == 1
        loads = [each for each in all_orders(system) if each.version == MEDIUM]
        assert [each.action for each in loads] == ['load']
        holder = system.controllers[find_holder(system)]
        assert loads[0].fencing_number == holder.lease.fencing_number
        line = DECIDED.search(system.log_stream.getvalue()).group()
        assert 'action=load version=medium@1 engine=flanders-' in line
        assert 'reason=first_copy' in line
        assert 'rejected_count=1' in line

    def test_version_with_too_few_copies(self) -> None:
        """Answer at once what one copy can't, after a second one is there."""
        system = start(
            held=((SMALL, NEW), (SMALL, MEDIUM, 'large@2')),
            capacity=1,
        )
        assert self.ask_two_at_once(system) == [200, 503]
        ask_until(system, MEDIUM, lambda _: holds(system, FIRST, MEDIUM))
        system.pass_time(2)
        assert self.ask_two_at_once(system) == [200, 200]

    def ask_two_at_once(self, system: System) -> list[int]:
        """Send two requests that overlap; return their statuses."""
        sent = [
            system.send_chat(
                system.places[0],
                OFFICE_KEY,
                model=MEDIUM,
                max_tokens=100,
                text=f'Question {number}',
            )
            for number in range(2)
        ]
        return sorted(system.wait(each).status for each in sent)

    def test_surplus_makes_room(self) -> None:
        """Drop a copy that isn't asked for, never a last one."""
        system = start(
            slots=(2, 3),
            held=WITHOUT_MEDIUM,
        )
        assert keep_asking(system, MEDIUM)
        dropped = [
            each for each in all_orders(system) if each.action == 'unload'
        ]
        assert [each.version for each in dropped] == [SMALL]
        for version in (SMALL, NEW, 'large@1', 'large@2'):
            assert holds(system, FIRST, version) or holds(
                system, SECOND, version
            )

    def test_nothing_without_bounds(self) -> None:
        """Order nothing where the configuration places no version."""
        system = System(zones=1, hosts_per_zone=1)
        system.engines[SECOND].versions.remove(MEDIUM)
        system.configure(lambda text: OTHER_ENGINES.sub('', text))
        assert ask(system, MEDIUM).status != 200
        system.pass_time(4)
        assert not all_orders(system)
        assert not system.weights.fetched


class TestRollout:
    """Place a new version before it gets a share."""

    def test_new_version(self) -> None:
        """Load a version in roll-out though nobody asks for it."""
        system = start(held=((SMALL,), (SMALL, MEDIUM, 'large@2')))
        system.until(lambda: holds(system, FIRST, NEW))
        line = DECIDED.search(system.log_stream.getvalue()).group()
        assert 'version=small@2' in line
        assert 'reason=min_copies' in line


class TestLease:
    """Order nothing without surely holding the lease."""

    def test_holder_that_wakes_after_its_lease(self) -> None:
        """Drop the load that waited for its weights during the pause."""
        system = start(held=WITHOUT_MEDIUM, hosts=2)
        former, other = self.pause_in_fetch(system)
        assert keep_asking(system, MEDIUM)
        number = system.controllers[other].lease.fencing_number
        system.frozen.discard(f'{former}.controller')
        system.until(lambda: logged(system, 'engine_order_dropped'))
        assert {each.fencing_number for each in all_orders(system)} == {number}

    def test_order_that_goes_out_after_all(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Rely on the engine, if a pause comes after the last check."""
        system = start(held=WITHOUT_MEDIUM, hosts=2)
        former, _ = self.pause_in_fetch(system)
        placement = system.controllers[former].placement
        assert keep_asking(system, MEDIUM)
        monkeypatch.setattr(placement, 'find_obstacle', lambda *_: '')
        before = all_orders(system)
        system.frozen.discard(f'{former}.controller')
        system.until(
            lambda: 'outcome=fenced_off' in system.log_stream.getvalue()
        )
        assert all_orders(system) == before

    def pause_in_fetch(self, system: System) -> tuple[str, str]:
        """Freeze the holder while weights are on their way to it."""
        former = find_holder(system)
        sender = system.controllers[former].placement.sender
        system.control(system.weights, {'fault': 'freeze'})
        ask_until(system, MEDIUM, lambda _: bool(sender._in_flight))
        system.frozen.add(f'{former}.controller')
        system.control(system.weights, {'clear': 'all'})
        other = next(each for each in system.controllers if each != former)
        lease = system.controllers[other].lease
        system.until(lambda: lease.fencing_number > 0)
        return former, other

    def test_engine_that_ignores_fencing(self) -> None:
        """Repair what a late order of a former holder has dropped."""
        system = start(held=((SMALL, NEW), (SMALL, MEDIUM, 'large@2')))
        system.control(system.engines[SECOND], {'fault': 'ignore_fencing'})
        late = {'action': 'unload', 'fencing_number': 1, 'version': MEDIUM}
        address = system.engines[SECOND].stand_in.address
        assert system.call(address, 'POST', '/orders', late).status == 200
        # The entry process sees by the next report that the version is gone.
        system.pass_time(2)
        assert keep_asking(system, MEDIUM)

    def test_controller_handed_over(self) -> None:
        """Go on under the next holder, which repeats nothing."""
        system = start(held=WITHOUT_MEDIUM, hosts=2)
        former = find_holder(system)
        sender = system.controllers[former].placement.sender
        ask_until(system, MEDIUM, lambda _: bool(sender._in_flight))
        system.stop(f'{former}.controller')
        assert keep_asking(system, MEDIUM) >= 0
        system.pass_time(3)
        copies = [holds(system, each, MEDIUM) for each in (FIRST, SECOND)]
        assert copies.count(True) == 1

    def test_zone_cut_from_the_platform(self) -> None:
        """Order nothing while the zone is cut off, and go on afterwards."""
        system = start(held=WITHOUT_MEDIUM)
        holder = system.controllers[find_holder(system)]
        system.cut_from_platform('flanders-a')
        system.until(lambda: not holder._fencing_number())
        for _ in range(5):
            assert ask(system, MEDIUM).status != 200
        system.pass_time(3)
        assert not all_orders(system)
        system.join_platform('flanders-a')
        assert keep_asking(system, MEDIUM) >= 0


class TestWeightStore:
    """Obey the store's rate and outlast its outages."""

    def test_limited_and_out(self) -> None:
        """Wait as long as it says, and go on once it serves again."""
        system = start(held=WITHOUT_MEDIUM)
        refuse = {'fault': 'refuse', 'status': 429, 'times': 2}
        system.control(system.weights, refuse)
        assert keep_asking(system, MEDIUM)
        assert 'event=weight_store_closed reason=limited' in (
            system.log_stream.getvalue()
        )

    def test_outage(self) -> None:
        """Ask seldom, give the engine no order, and don't blame it."""
        system = start(held=WITHOUT_MEDIUM)
        system.control(system.weights, {'fault': 'hang_up', 'for_s': 12})
        assert keep_asking(system, MEDIUM)
        assert logged(system, 'weight_store_closed')
        # NEW is wanted from the start and MEDIUM a little later, each 5 s.
        assert system.weights.stand_in.faults.used['hang_up'] <= 5
        loads = [each for each in all_orders(system) if each.version == MEDIUM]
        assert len(loads) == 1


class TestEngines:
    """Load where a version will stay."""

    def test_engine_that_dies_in_the_load(self) -> None:
        """Load the version on another engine."""
        system = start(held=WITHOUT_MEDIUM)
        wait_for_decision(system)
        line = DECIDED.search(system.log_stream.getvalue()).group()
        dying = FIRST if 'engine=flanders-1 ' in line else SECOND
        system.until(lambda: bool(orders(system, dying)))
        system.crash_engine(dying)
        assert keep_asking(system, MEDIUM)
        assert holds(system, 1 - dying, MEDIUM)

    def test_leaving_engine(self) -> None:
        """Load nothing on an engine that the host list calls leaving."""
        system = start(slots=(3, 5), held=WITHOUT_MEDIUM)
        leaving = {'fault': 'set_state', 'name': 'engine-0', 'state': 'leaving'}
        system.control(system.hosts, leaving)
        holder = system.controllers[find_holder(system)]
        system.until(lambda: bool(holder.hosts.leaving_addresses))
        assert keep_asking(system, MEDIUM)
        system.until(lambda: holds(system, SECOND, NEW))
        assert not orders(system, FIRST)

    def test_order_that_is_answered_too_late(self) -> None:
        """Take a copy from its report, whatever became of the answer."""
        system = start(held=WITHOUT_MEDIUM)
        for engine in system.engines[:2]:
            engine._settings = replace(engine._settings, load_version_s=6)
        assert keep_asking(system, MEDIUM)
        system.until(lambda: 'outcome=unknown' in system.log_stream.getvalue())
        system.pass_time(2)
        loads = [each for each in all_orders(system) if each.version == MEDIUM]
        assert len(loads) == 1


class TestWithdrawal:
    """Keep what is in use, and load nothing that is withdrawn."""

    def test_version_with_sessions(self) -> None:
        """Let the last copy stay for a while; make room elsewhere."""
        system = start(slots=(2, 3), held=WITHOUT_MEDIUM)
        assert ask(system, LARGE, headers={SESSION: 'new'}).status == 200
        placement = system.controllers[find_holder(system)].placement
        system.until(lambda: LARGE in placement._demand.sum_demand())
        withdraw(system, LARGE)
        assert keep_asking(system, MEDIUM)
        assert holds(system, SECOND, LARGE)

    def test_version_out_of_use(self) -> None:
        """Drop a withdrawn version first."""
        system = start(slots=(2, 3), held=WITHOUT_MEDIUM)
        withdraw(system, LARGE)
        assert keep_asking(system, MEDIUM)
        assert not holds(system, SECOND, LARGE)
        assert holds(system, FIRST, SMALL)
        assert holds(system, SECOND, SMALL)

    def test_withdrawal_during_the_fetch(self) -> None:
        """Don't load what was withdrawn while its weights were on the way."""
        system = start(held=WITHOUT_MEDIUM)
        system.control(system.weights, {'fault': 'freeze'})
        wait_for_decision(system)
        withdraw(system, MEDIUM)
        system.control(system.weights, {'clear': 'all'})
        system.until(lambda: logged(system, 'engine_order_dropped'))
        system.pass_time(2)
        assert MEDIUM not in {each.version for each in all_orders(system)}


def withdraw(system: System, version: str) -> None:
    """Withdraw a version and wait until that is in force."""
    body = {'change_id': f'withdraw-{version}'}
    path = f'/admin/v1/versions/{version}/withdraw'
    assert system.operate('POST', path, body).status == 200
    apps = (*system.entries.values(), *system.controllers.values())
    system.until(
        lambda: all(
            app.keeper.configuration.models_by_name[version].state
            is VersionState.WITHDRAWN
            for app in apps
        ),
    )
