"""Test that the schedule and the load follow from the seed."""

import itertools
from pathlib import Path
from random import Random

import pytest

from bamboodeck.bench.soak import stand_in_faults
from bamboodeck.bench.soak.actions import (
    CutKind,
    KillProcess,
    PauseProcess,
    RaceOperators,
    Step,
    StopProcess,
    name_kind,
)
from bamboodeck.bench.soak.layout import SystemLayout, load_layout
from bamboodeck.bench.soak.links import list_links
from bamboodeck.bench.soak.plans import PlanDrawer
from bamboodeck.bench.soak.schedule import draw_schedule
from bamboodeck.bench.soak.spacing import HOLD_TIMEOUT_S, LOSS_GAP_S, Loss
from bamboodeck.fakes.engine.faults import ENGINE_FAULTS
from bamboodeck.fakes.faults import FaultRegistry
from bamboodeck.fakes.key_value.faults import KEY_VALUE_FAULTS
from bamboodeck.fakes.orders import ORDER_FAULTS

LAYOUT = """
[stand-ins]
balancer = 127.0.0.1:99
key-value = 127.0.0.1:101
rating = 127.0.0.1:201
hosts = 127.0.0.1:202
orders = 127.0.0.1:501
links = 127.0.0.1:98

[callers]
balancer = 127.0.0.1:100

[engines]
flanders-1 = 127.0.0.1:401
wallonia-1 = 127.0.0.1:403
"""
HOST = """
[host host{0}]
zone = {1}
callers = 127.0.0.1:{0}
admin = 127.0.0.1:30{0}
health = 127.0.0.1:33{0}
"""
ZONES = ('flanders-a', 'wallonia-a', 'brussels-a')
LONG_S = 600


@pytest.fixture
def layout(tmp_path: Path) -> SystemLayout:
    """Write and read the layout of six hosts."""
    hosts = [
        HOST.format(number, ZONES[(number - 1) // 2]) for number in range(1, 7)
    ]
    (tmp_path / 'layout.ini').write_text(LAYOUT + ''.join(hosts))
    return load_layout(tmp_path)


def find_loss(layout: SystemLayout, step: Step) -> Loss | None:
    """Return which node of the system a step takes away, if any."""
    pause_s = 0.0
    match step.action:
        case KillProcess(process) | StopProcess(process):
            role = process.partition('.')[2]
        case PauseProcess(process, pause_s):
            role = process.partition('.')[2]
            if role == 'entry' or pause_s < HOLD_TIMEOUT_S:
                return None
        case _:
            return None
    if not role:
        return None
    zone = layout.find_host(process).zone
    return Loss(zone, role, step.at_s, step.at_s + pause_s)


class TestSchedule:
    """Draw the steps of a run."""

    def test_same_seed(self, layout: SystemLayout) -> None:
        """Draw the same steps again."""
        first = draw_schedule(7, LONG_S, layout)
        assert first == draw_schedule(7, LONG_S, layout)
        assert first != draw_schedule(8, LONG_S, layout)

    def test_every_kind(self, layout: SystemLayout) -> None:
        """Draw faults of every kind in a long run, in order of time."""
        steps = draw_schedule(1, 3000, layout)
        kinds = {name_kind(step.action).split()[0] for step in steps}
        assert kinds >= {'SIGKILL', 'SIGTERM', 'SIGSTOP', 'cut', 'operator'}
        assert kinds >= {'engine', 'orders', 'key-value', 'rating'}
        times = [step.at_s for step in steps]
        assert times == sorted(times)
        assert times[-1] < 3000

    def test_losses_are_apart(self, layout: SystemLayout) -> None:
        """Never lose both holders of a bill before it can be stored."""
        steps = draw_schedule(3, 3000, layout)
        losses = list(filter(None, (find_loss(layout, each) for each in steps)))
        assert losses
        for first, later in itertools.combinations(losses, 2):
            if first.zone != later.zone or first.role == later.role:
                continue
            assert later.from_s >= first.until_s + LOSS_GAP_S

    def test_change_ids_are_unique(self, layout: SystemLayout) -> None:
        """Give each change an id of its own."""
        ids = [
            change.change_id
            for step in draw_schedule(1, LONG_S, layout)
            if isinstance(step.action, RaceOperators)
            for change in step.action.changes
        ]
        assert ids
        assert len(ids) == len(set(ids))

    @pytest.mark.parametrize(
        ('forms', 'kinds'),
        [
            (stand_in_faults.ENGINE_FAULTS, ENGINE_FAULTS),
            (stand_in_faults.ORDER_FAULTS, ORDER_FAULTS),
            (stand_in_faults.KEY_VALUE_FAULTS, KEY_VALUE_FAULTS),
            (stand_in_faults.RATING_FAULTS, ()),
        ],
    )
    def test_fault_orders_are_understood(self, forms, kinds) -> None:
        """Write orders that the stand-ins read."""
        board = FaultRegistry(kinds, float)
        for form in forms:
            for seed in range(20):
                board.parse(form.write(Random(seed)).encode())


class TestLoad:
    """Draw what callers send."""

    def test_same_seed(self) -> None:
        """Draw the same chats and orders again."""
        drawers = [PlanDrawer(5, ('host1', 'host2')) for _ in range(2)]
        chats, orders = (
            [[draw(drawer) for _ in range(50)] for drawer in drawers]
            for draw in (PlanDrawer.draw_chat, PlanDrawer.draw_order)
        )
        assert chats[0] == chats[1]
        assert orders[0] == orders[1]


class TestLinks:
    """Name the links of a cut."""

    def test_names(self, layout: SystemLayout) -> None:
        """Name them as demo/proof.sh does."""
        assert list_links(layout, 'wallonia-a', CutKind.PLATFORM) == (
            'wallonia-a.platform',
        )
        assert list_links(layout, 'wallonia-a', CutKind.BOTH) == (
            'wallonia-a.platform',
            'flanders-a.wallonia-a',
            'wallonia-a.brussels-a',
        )
