"""Test that versions are placed by demand despite failures.

The tests fail without the checks that they cover: those of the lease, of
withdrawal, of leaving engines and of the last copy.
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
    """Set the slots of the first zone's engines and the bounds of versions."""
    for number, count in enumerate(slots, start=1):
        address = f'[engine flanders-{number}]\n'
        text = text.replace(address, f'{address}slots = {count}\n')
    # Engines of other zones don't run; other processes may use their ports.
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
    """Set the versions of an engine in the configuration."""
    title = f'[engine flanders-{number + 1}]'
    head, _, tail = text.partition(title)
    line = f'versions = {", ".join(versions)}'
    tail = re.sub('versions = .*', line, tail, count=1)
    return f'{head}{title}{tail}'


def ask(system: System, version: str, **options) -> HttpReply:
    """Send a chat to a version."""
    return system.ask(
        system.host_addresses[0], OFFICE_KEY, model=version, **options
    )


def ask_until(
    system: System,
    version: str,
    happened: Callable[[HttpReply], bool],
    *,
    report_early: bool = True,
) -> int:
    """Send chats until a condition holds; return the number of refusals.

    With `report_early`, nodes report their demand before it is due.
    """
    for refused in range(MAX_ASKED):
        answer = ask(system, version)
        if report_early:
            for app in system.entries.values():
                app.control_plane.demand.report()
        if happened(answer):
            return refused
        if answer.status != 200:
            assert read_error(answer)['code'] == 'no_engine'
            assert read_error(answer)['run'] == 'not-run'
        system.run_for(0.3)
    raise AssertionError(system.log_stream.getvalue())


def ask_until_answered(system: System, version: str) -> int:
    """Send chats until one succeeds; return the number of refusals."""
    return ask_until(system, version, lambda answer: answer.status == 200)


def holds(system: System, number: int, version: str) -> bool:
    """Return whether an engine holds a version."""
    return version in system.engines[number].versions


def orders(system: System, number: int) -> list[EngineOrder]:
    """Return the orders that an engine executed."""
    return system.engines[number].record.orders


def all_orders(system: System) -> list[EngineOrder]:
    """Return the orders that any engine executed."""
    return [order for each in (FIRST, SECOND) for order in orders(system, each)]


def wait_for_decision(system: System) -> None:
    """Send chats until a placement decision is logged."""
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
    """Return whether an event was logged."""
    return f'event={event} ' in system.log_stream.getvalue()


WITHOUT_MEDIUM = ((SMALL, NEW), (SMALL, 'large@1', 'large@2'))


class TestDemand:
    """Load versions by demand."""

    def test_version_that_no_engine_holds(self) -> None:
        """Refuse with "not-run" until the version is loaded, then answer."""
        system = start(held=WITHOUT_MEDIUM)
        assert ask_until(
            system,
            MEDIUM,
            lambda answer: answer.status == 200,
            report_early=False,
        )
        answer = system.call_admin('GET', '/admin/v1/placement')
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
        """Load a second copy when one cannot serve concurrent requests."""
        system = start(
            held=((SMALL, NEW), (SMALL, MEDIUM, 'large@2')),
            capacity=1,
        )
        assert self.ask_two_at_once(system) == [200, 503]
        ask_until(system, MEDIUM, lambda _: holds(system, FIRST, MEDIUM))
        system.run_for(2)
        assert self.ask_two_at_once(system) == [200, 200]

    def ask_two_at_once(self, system: System) -> list[int]:
        """Send two requests that overlap; return their statuses."""
        sent = [
            system.send_chat(
                system.host_addresses[0],
                OFFICE_KEY,
                model=MEDIUM,
                max_tokens=100,
                text=f'Question {number}',
            )
            for number in range(2)
        ]
        return sorted(system.wait(each).status for each in sent)

    def test_surplus_makes_room(self) -> None:
        """Unload a surplus copy, but never the last one of a version."""
        system = start(
            slots=(2, 3),
            held=WITHOUT_MEDIUM,
        )
        assert ask_until_answered(system, MEDIUM)
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
        system.run_for(4)
        assert not all_orders(system)
        assert not system.weights.fetched


class TestRollout:
    """Place a new version before it gets traffic."""

    def test_new_version(self) -> None:
        """Load a version in roll-out without demand for it."""
        system = start(held=((SMALL,), (SMALL, MEDIUM, 'large@2')))
        system.until(lambda: holds(system, FIRST, NEW))
        line = DECIDED.search(system.log_stream.getvalue()).group()
        assert 'version=small@2' in line
        assert 'reason=min_copies' in line


class TestLease:
    """Send orders only while the lease is held."""

    def test_holder_resumes_after_its_lease(self) -> None:
        """Drop a load whose weights were fetched during the pause."""
        system = start(held=WITHOUT_MEDIUM, hosts=2)
        former, other = self.pause_in_fetch(system)
        assert ask_until_answered(system, MEDIUM)
        number = system.controllers[other].lease.fencing_number
        system.frozen.discard(f'{former}.controller')
        system.until(lambda: logged(system, 'engine_order_dropped'))
        assert {each.fencing_number for each in all_orders(system)} == {number}

    def test_late_order_is_fenced_off(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Have the engine refuse an order sent after the last check."""
        system = start(held=WITHOUT_MEDIUM, hosts=2)
        former, _ = self.pause_in_fetch(system)
        placement = system.controllers[former].placement
        assert ask_until_answered(system, MEDIUM)
        monkeypatch.setattr(placement, 'find_obstacle', lambda *_: '')
        before = all_orders(system)
        system.frozen.discard(f'{former}.controller')
        system.until(
            lambda: 'outcome=fenced_off' in system.log_stream.getvalue()
        )
        assert all_orders(system) == before

    def pause_in_fetch(self, system: System) -> tuple[str, str]:
        """Freeze the holder in a fetch; return its host and the other one."""
        former = find_holder(system)
        sender = system.controllers[former].placement.sender
        system.inject_fault(system.weights, {'fault': 'freeze'})
        ask_until(system, MEDIUM, lambda _: bool(sender._in_flight))
        system.frozen.add(f'{former}.controller')
        system.inject_fault(system.weights, {'clear': 'all'})
        other = next(each for each in system.controllers if each != former)
        lease = system.controllers[other].lease
        system.until(lambda: lease.fencing_number > 0)
        return former, other

    def test_engine_that_ignores_fencing(self) -> None:
        """Reload a version that a late order of a former holder unloaded."""
        system = start(held=((SMALL, NEW), (SMALL, MEDIUM, 'large@2')))
        system.inject_fault(system.engines[SECOND], {'fault': 'ignore_fencing'})
        late = {'action': 'unload', 'fencing_number': 1, 'version': MEDIUM}
        address = system.engines[SECOND].stand_in.address
        assert system.call(address, 'POST', '/orders', late).status == 200
        # The next load report tells the entry process of the unload.
        system.run_for(2)
        assert ask_until_answered(system, MEDIUM)

    def test_controller_handed_over(self) -> None:
        """Finish the load under the next holder without a second copy."""
        system = start(held=WITHOUT_MEDIUM, hosts=2)
        former = find_holder(system)
        sender = system.controllers[former].placement.sender
        ask_until(system, MEDIUM, lambda _: bool(sender._in_flight))
        system.stop(f'{former}.controller')
        assert ask_until_answered(system, MEDIUM) >= 0
        system.run_for(3)
        copies = [holds(system, each, MEDIUM) for each in (FIRST, SECOND)]
        assert copies.count(True) == 1

    def test_zone_cut_from_the_platform(self) -> None:
        """Send no orders during the partition, and resume afterwards."""
        system = start(held=WITHOUT_MEDIUM)
        holder = system.controllers[find_holder(system)]
        system.cut_from_platform('flanders-a')
        system.until(lambda: not holder._fencing_number())
        for _ in range(5):
            assert ask(system, MEDIUM).status != 200
        system.run_for(3)
        assert not all_orders(system)
        system.rejoin_platform('flanders-a')
        assert ask_until_answered(system, MEDIUM) >= 0


class TestWeightStore:
    """Respect the store's rate limit and survive its outages."""

    def test_limited_and_out(self) -> None:
        """Wait for the retry-after time, then fetch again."""
        system = start(held=WITHOUT_MEDIUM)
        refuse = {'fault': 'refuse', 'status': 429, 'times': 2}
        system.inject_fault(system.weights, refuse)
        assert ask_until_answered(system, MEDIUM)
        assert 'event=weight_store_closed reason=limited' in (
            system.log_stream.getvalue()
        )

    def test_outage(self) -> None:
        """Retry seldom, send the engine no order, and don't exclude it."""
        system = start(held=WITHOUT_MEDIUM)
        system.inject_fault(system.weights, {'fault': 'hang_up', 'for_s': 12})
        assert ask_until_answered(system, MEDIUM)
        assert logged(system, 'weight_store_closed')
        # NEW is wanted from the start and MEDIUM a little later, each 5 s.
        assert system.weights.stand_in.faults.used['hang_up'] <= 5
        loads = [each for each in all_orders(system) if each.version == MEDIUM]
        assert len(loads) == 1


class TestEngines:
    """Load versions on engines that remain available."""

    def test_engine_crashes_during_the_load(self) -> None:
        """Load the version on another engine."""
        system = start(held=WITHOUT_MEDIUM)
        wait_for_decision(system)
        line = DECIDED.search(system.log_stream.getvalue()).group()
        dying = FIRST if 'engine=flanders-1 ' in line else SECOND
        system.until(lambda: bool(orders(system, dying)))
        system.crash_engine(dying)
        assert ask_until_answered(system, MEDIUM)
        assert holds(system, 1 - dying, MEDIUM)

    def test_leaving_engine(self) -> None:
        """Load nothing on an engine that the host list marks as leaving."""
        system = start(slots=(3, 5), held=WITHOUT_MEDIUM)
        leaving = {'fault': 'set_state', 'name': 'engine-0', 'state': 'leaving'}
        system.inject_fault(system.host_list, leaving)
        holder = system.controllers[find_holder(system)]
        system.until(lambda: bool(holder.hosts.leaving_addresses))
        assert ask_until_answered(system, MEDIUM)
        system.until(lambda: holds(system, SECOND, NEW))
        assert not orders(system, FIRST)

    def test_order_answered_after_its_timeout(self) -> None:
        """Recognise the copy by the load report; do not load a second one."""
        system = start(held=WITHOUT_MEDIUM)
        for engine in system.engines[:2]:
            engine._settings = replace(engine._settings, load_version_s=6)
        assert ask_until_answered(system, MEDIUM)
        system.until(lambda: 'outcome=unknown' in system.log_stream.getvalue())
        system.run_for(2)
        loads = [each for each in all_orders(system) if each.version == MEDIUM]
        assert len(loads) == 1


class TestWithdrawal:
    """Keep withdrawn versions in use, and load none."""

    def test_version_with_sessions(self) -> None:
        """Keep the last copy while sessions use it; make room elsewhere."""
        system = start(slots=(2, 3), held=WITHOUT_MEDIUM)
        assert ask(system, LARGE, headers={SESSION: 'new'}).status == 200
        placement = system.controllers[find_holder(system)].placement
        system.until(lambda: LARGE in placement._demand.sum_demand())
        withdraw(system, LARGE)
        assert ask_until_answered(system, MEDIUM)
        assert holds(system, SECOND, LARGE)

    def test_version_out_of_use(self) -> None:
        """Unload a withdrawn version first."""
        system = start(slots=(2, 3), held=WITHOUT_MEDIUM)
        withdraw(system, LARGE)
        assert ask_until_answered(system, MEDIUM)
        assert not holds(system, SECOND, LARGE)
        assert holds(system, FIRST, SMALL)
        assert holds(system, SECOND, SMALL)

    def test_withdrawal_during_the_fetch(self) -> None:
        """Don't load a version withdrawn during the fetch of its weights."""
        system = start(held=WITHOUT_MEDIUM)
        system.inject_fault(system.weights, {'fault': 'freeze'})
        wait_for_decision(system)
        withdraw(system, MEDIUM)
        system.inject_fault(system.weights, {'clear': 'all'})
        system.until(lambda: logged(system, 'engine_order_dropped'))
        system.run_for(2)
        assert MEDIUM not in {each.version for each in all_orders(system)}


def withdraw(system: System, version: str) -> None:
    """Withdraw a version and wait until that is in force."""
    body = {'change_id': f'withdraw-{version}'}
    path = f'/admin/v1/versions/{version}/withdraw'
    assert system.call_admin('POST', path, body).status == 200
    apps = (*system.entries.values(), *system.controllers.values())
    system.until(
        lambda: all(
            app.replica.configuration.models_by_name[version].state
            is VersionState.WITHDRAWN
            for app in apps
        ),
    )
