"""Test which prompt parts are blamed for crashes of engines."""

from random import Random

import pytest

from bamboodeck.gateway.suspect_parts import (
    CRASHES_TO_BLOCK,
    ALIVE_MARGIN_S,
    EXPIRY_S,
    SETTLE_S,
    EngineCrash,
    SuspectPart,
    SuspectParts,
    list_shared_parts,
)
from tests.gateway.samples import build_generation

SHARED = SuspectPart('shared', 0)
SESSION = SuspectPart('session', 1)
DEADLY = SuspectPart('deadly', 2)
# Crashes at 10 s count from here.
SETTLED_S = 11.0


def crash_engines(
    suspects: SuspectParts,
    count: int,
    *parts: SuspectPart,
    now_s: float = 10.0,
    first: int = 0,
) -> None:
    """Report engines that broke off while they ran the parts."""
    for number in range(first, first + count):
        suspects.record_crash(EngineCrash(f'i-{number}/1', now_s, parts), now_s)


class TestBlame:
    """Blame the part that crashed engines have in common."""

    def test_common_part(self) -> None:
        """Refuse a part after crashes that nothing else explains."""
        suspects = SuspectParts()
        for number in range(CRASHES_TO_BLOCK):
            assert suspects.find_blamed((DEADLY,), SETTLED_S) is None
            other = SuspectPart(f'session-{number}', 1)
            crash_engines(suspects, 1, other, DEADLY, first=number)
        assert suspects.list_blamed(SETTLED_S) == {'deadly'}
        assert suspects.find_blamed((SHARED, DEADLY), SETTLED_S) == 'deadly'
        assert suspects.find_blamed((SHARED, SESSION), SETTLED_S) is None

    def test_answered_part(self) -> None:
        """Never blame a part that an engine has answered."""
        suspects = SuspectParts()
        suspects.record_harmless(['shared'], 2.0)
        crash_engines(suspects, 50, SHARED)
        assert not suspects.list_blamed(SETTLED_S)

    def test_answered_afterwards(self) -> None:
        """Clear a part whose requests were on crashed engines by chance."""
        suspects = SuspectParts()
        crash_engines(suspects, CRASHES_TO_BLOCK, SHARED)
        suspects.record_harmless(['shared'], 11.0)
        assert not suspects.list_blamed(SETTLED_S)

    def test_companions(self) -> None:
        """Don't blame parts for crashes that another one explains."""
        suspects = SuspectParts()
        crash_engines(suspects, CRASHES_TO_BLOCK, SHARED, SESSION, DEADLY)
        crash_engines(suspects, 1, DEADLY, first=10)
        assert suspects.list_blamed(SETTLED_S) == {'deadly'}

    def test_always_together(self) -> None:
        """Blame the deepest of the parts that were always together."""
        suspects = SuspectParts()
        crash_engines(suspects, CRASHES_TO_BLOCK, SESSION, DEADLY)
        assert suspects.list_blamed(SETTLED_S) == {'deadly'}
        # It was the other one: engines go on to crash without the deepest.
        crash_engines(suspects, CRASHES_TO_BLOCK, SESSION, first=10)
        assert 'session' in suspects.list_blamed(SETTLED_S)

    def test_same_engine(self) -> None:
        """Count an engine that broke off once."""
        suspects = SuspectParts()
        for _ in range(10):
            crash_engines(suspects, 1, DEADLY)
        assert not suspects.list_blamed(SETTLED_S)

    def test_two_deadly_parts(self) -> None:
        """Blame each part that explains crashes of its own."""
        suspects = SuspectParts()
        crash_engines(suspects, CRASHES_TO_BLOCK, DEADLY)
        crash_engines(suspects, CRASHES_TO_BLOCK, SESSION, first=10)
        assert suspects.list_blamed(SETTLED_S) == {'deadly', 'session'}


class TestLostAnswers:
    """Tell an engine that lost an answer from one that crashed."""

    def test_later_answer(self) -> None:
        """Drop the crash of an engine that goes on to answer."""
        suspects = SuspectParts()
        crash_engines(suspects, CRASHES_TO_BLOCK, DEADLY)
        assert suspects.record_alive('i-0/1', 10.5)
        assert not suspects.list_blamed(SETTLED_S)
        # A late report of the same crash doesn't bring it back.
        crash_engines(suspects, 1, DEADLY)
        assert not suspects.list_blamed(SETTLED_S)

    def test_earlier_answer(self) -> None:
        """Keep the crash if what the engine sent was on its way before."""
        suspects = SuspectParts()
        crash_engines(suspects, CRASHES_TO_BLOCK, DEADLY)
        assert not suspects.record_alive('i-0/1', 10.0 + ALIVE_MARGIN_S / 2)
        assert suspects.list_blamed(SETTLED_S) == {'deadly'}

    def test_not_settled(self) -> None:
        """Leave other hosts the time to say that an engine runs on."""
        suspects = SuspectParts()
        crash_engines(suspects, CRASHES_TO_BLOCK, DEADLY)
        assert not suspects.list_blamed(10.0 + SETTLE_S / 2)
        assert suspects.list_blamed(SETTLED_S) == {'deadly'}


class TestExpiry:
    """Forget crashes after a while."""

    def test_no_more_requests(self) -> None:
        """Run requests with a part again that nobody asked for."""
        suspects = SuspectParts()
        crash_engines(suspects, CRASHES_TO_BLOCK, DEADLY)
        assert suspects.find_blamed((DEADLY,), 11.0 + EXPIRY_S) is None

    def test_still_asked_for(self) -> None:
        """Keep refusing a part that goes on to be asked for."""
        suspects = SuspectParts()
        crash_engines(suspects, CRASHES_TO_BLOCK, DEADLY)
        for step in range(1, 10):
            now_s = 10.0 + step * EXPIRY_S / 2
            assert suspects.find_blamed((DEADLY,), now_s) == 'deadly'
            suspects.add_listed('other')
            assert suspects.find_blamed((DEADLY,), now_s) == 'deadly'


class TestParts:
    """Consider the parts that requests may share."""

    def test_last_part(self) -> None:
        """Leave out the last part, which is a request's own."""
        listed = list_shared_parts(build_generation())
        assert listed == (SuspectPart('a', 0),)
        assert not list_shared_parts(None)


class TestRandomCrashes:
    """Blame the deadly part alone among sound traffic."""

    @pytest.mark.parametrize('seed', range(20))
    def test_traffic(self, seed: int) -> None:
        """Tell it from sessions that are on many crashed engines."""
        random = Random(seed)
        suspects = SuspectParts()
        for engine in range(12):
            running = [(SHARED, SuspectPart('deadly', 1))]
            running.extend(
                (SHARED, SuspectPart(f'session-{random.randrange(40)}', 1))
                for _ in range(random.randrange(10))
            )
            for parts in running:
                crash = EngineCrash(f'i-{engine}/1', float(engine), parts)
                suspects.record_crash(crash, float(engine))
            # Sound requests are answered by other engines afterwards.
            for parts in running[1:]:
                if random.random() < 0.7:
                    shared = [part.part_id for part in parts]
                    suspects.record_harmless(shared, engine + 0.5)
        assert suspects.list_blamed(13.0) == {'deadly'}
