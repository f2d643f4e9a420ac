"""Replay loads that are larger than the places of the engines."""

from bamboodeck.gateway.request_queue import QueuedRequest, RequestQueue

SHOP = 'shop'


def build_waiting(ticket: str, **fields: object) -> QueuedRequest:
    """Build a request that waits."""
    described = {
        'service': SHOP,
        'rank': 1,
        'customer': 'school',
        'enqueued_s': 0.0,
        'deadline_s': 10.0,
        **fields,
    }
    return QueuedRequest(ticket, **described)


def drain(room: RequestQueue) -> list[str]:
    """Let everyone run, each to its end of the queue, and tell the order."""
    order = []
    following = room.peek(SHOP)
    while following is not None:
        order.append(following.ticket)
        room.remove(SHOP, following.ticket)
        room.adjust_running(SHOP, following.customer, 1)
        following = room.peek(SHOP)
    return order


class TestOrder:
    """Let the urgent go first, then customers in turn."""

    def test_rank(self) -> None:
        """Let a more urgent request overtake."""
        room = RequestQueue()
        room.add(build_waiting('later', rank=2))
        room.add(build_waiting('urgent', rank=0))
        assert drain(room) == ['urgent', 'later']

    def test_burst_of_one_customer(self) -> None:
        """Serve others between the requests of a customer's burst."""
        room = RequestQueue()
        for number in range(50):
            room.add(build_waiting(f'burst-{number}', customer='large'))
        for number in range(3):
            room.add(build_waiting(f'other-{number}', customer='small'))
        order = drain(room)
        last = max(order.index(f'other-{number}') for number in range(3))
        assert last < 8

    def test_deadline(self) -> None:
        """Let the one with the least time go first among equals."""
        room = RequestQueue()
        room.add(build_waiting('patient', deadline_s=9.0))
        room.add(build_waiting('hurried', deadline_s=2.0))
        assert drain(room) == ['hurried', 'patient']


class TestRejection:
    """Reject at once what can't be served in time."""

    def test_long_queue(self) -> None:
        """Admit only as many as the pace of the turns serves in time."""
        room = RequestQueue()
        for turn in range(200):
            room.add(build_waiting(f'first-{turn}'))
            room.record_completion(SHOP, turn * 0.05)
            room.remove(SHOP, f'first-{turn}')
            room.add(build_waiting('keeps-it-busy'))
        admitted = 0
        for number in range(400):
            newcomer = build_waiting(
                f'burst-{number}',
                enqueued_s=20.0,
                deadline_s=22.0,
            )
            if room.can_admit(newcomer):
                room.add(newcomer)
                admitted += 1
        # 0.6 of two seconds, at a turn each 50 ms, less those that wait.
        assert admitted < 24

    def test_urgent_sees_shorter_queue(self) -> None:
        """Count only those ahead of a newcomer."""
        room = RequestQueue()
        for number in range(60):
            room.add(build_waiting(f'later-{number}', rank=5))
        urgent = build_waiting('urgent', rank=0, deadline_s=1.0)
        later = build_waiting('later', rank=5, deadline_s=1.0)
        assert room.can_admit(urgent)
        assert not room.can_admit(later)
