"""Test that a holder frozen past its lease's expiry sends no orders."""

import pytest

from bamboodeck.controller.app import ControllerApp
from bamboodeck.fakes.engine.server import ModelEngine
from bamboodeck.http.messages import HttpReply
from tests.system.harness import System

OLD_FENCING_NUMBER = 409


class TestFrozenHolder:
    """Freeze a zone's lease holder until another node has the lease.

    Engine 0 refuses old fencing numbers, engine 1 ignores them.
    """

    @pytest.fixture
    def system(self) -> System:
        """Start a zone with two controllers."""
        built = System(zones=1)
        built.inject_fault(built.engines[1], {'fault': 'ignore_fencing'})
        built.configure()
        built.until(lambda: self.find_holder(built) is not None)
        return built

    def find_holder(self, system: System) -> ControllerApp | None:
        """Return the unfrozen controller that holds the zone's lease."""
        for app in system.controllers.values():
            awake = app.settings.node not in system.frozen
            if awake and app.lease.holds(app.loop.scheduler.now_s()):
                return app
        return None

    def replace(self, system: System) -> tuple[ControllerApp, int]:
        """Freeze the holder past its lease; return it and its number."""
        former = self.find_holder(system)
        number = former.lease.fencing_number
        system.frozen.add(former.settings.node)
        system.until(lambda: self.find_holder(system) is not None)
        return former, number

    def may_order(self, app: ControllerApp, number: int, checks: bool) -> bool:
        """Run the checks that a controller makes before sending an order."""
        now_s = app.loop.scheduler.now_s()
        permitted = app.lease.may_order(checks, now_s)
        return permitted and app.lease.check(number, now_s)

    def order(self, system: System, engine: ModelEngine, number: int) -> int:
        """Order a role named after the number; return the status."""
        body = {'action': 'role', 'fencing_number': number, 'role': 'mixed'}
        address = engine.stand_in.address
        answer = system.wait(system.send(address, 'POST', '/orders', body))
        assert isinstance(answer, HttpReply), answer
        return answer.status

    def numbers_at(self, engine: ModelEngine) -> list[int]:
        """Return the fencing numbers of the role orders that were executed."""
        return [
            each.fencing_number
            for each in engine.record.orders
            if each.action == 'role'
        ]

    def test_wakes_before_its_check(self, system: System) -> None:
        """Drop queued orders, whether or not the engine checks fencing.

        Without the deadline, the former holder orders both engines.
        """
        former, number = self.replace(system)
        system.frozen.clear()
        for checks in (True, False):
            assert not self.may_order(former, number, checks)
        system.run_for(1)
        for checks in (True, False):
            assert not self.may_order(former, number, checks)

    def test_wakes_after_its_check(self, system: System) -> None:
        """Have late orders refused, or overridden by the new holder.

        An engine that ignores fencing numbers executes the late order. The
        new holder delays its own order so that it comes last.
        """
        checking, ignoring = system.engines
        former, old = self.replace(system)
        holder = self.find_holder(system)
        new = holder.lease.fencing_number
        assert new > old
        assert self.may_order(holder, new, True)
        assert self.order(system, checking, new) == 200
        assert not self.may_order(holder, new, False)
        assert self.order(system, checking, old) == OLD_FENCING_NUMBER
        assert self.order(system, ignoring, old) == 200
        system.until(lambda: self.may_order(holder, new, False))
        assert self.order(system, ignoring, new) == 200
        assert self.numbers_at(checking) == [new]
        assert self.numbers_at(ignoring) == [old, new]
