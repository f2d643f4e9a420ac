"""Test the state that a host keeps of engines."""

from bamboodeck.gateway.engines import (
    INITIAL_PAUSE_S,
    MAX_PAUSE_S,
    EngineTable,
    PeerLoad,
)
from bamboodeck.gateway.model import EngineState, PromptPart
from tests.gateway.samples import build_entry, build_generation, list_engines


class TestIncarnations:
    """Tell the incarnations of an engine apart."""

    def test_draining_stays(self) -> None:
        """Keep an engine draining when an older entry arrives late."""
        table = EngineTable()
        draining = build_entry(state=EngineState.DRAINING, sequence=3)
        (engine,) = list_engines(table, draining)
        assert not table.upsert(build_entry(sequence=2))
        assert not engine.is_available(0.0)

    def test_draining_stays_with_newer_entry(self) -> None:
        """Keep an engine draining for the rest of its incarnation."""
        table = EngineTable()
        (engine,) = list_engines(table, build_entry(state=EngineState.DRAINING))
        table.upsert(build_entry(sequence=9))
        assert table.find('engine-1') is engine
        assert not engine.is_available(0.0)

    def test_new_incarnation(self) -> None:
        """Start with fresh state when an engine restarts."""
        table = EngineTable()
        (old,) = list_engines(table, build_entry(state=EngineState.DRAINING))
        old.pause(0.0)
        table.upsert(build_entry(started_unix_ms=2000, sequence=0))
        new = table.find('engine-1')
        assert new is not old
        assert new.is_available(0.0)

    def test_earlier_incarnation(self) -> None:
        """Ignore an entry of an earlier incarnation."""
        table = EngineTable()
        list_engines(table, build_entry(started_unix_ms=2000))
        assert not table.upsert(build_entry(started_unix_ms=1000, sequence=50))
        assert table.find('engine-1').entry.started_unix_ms == 2000

    def test_listed_again(self) -> None:
        """Use an engine that is listed again."""
        table = EngineTable()
        (engine,) = list_engines(table, build_entry())
        assert table.unlist('engine-1')
        assert not engine.is_available(0.0)
        assert table.upsert(build_entry(sequence=2))
        assert engine.is_available(0.0)

    def test_removed(self) -> None:
        """Keep an unlisted engine while it has running requests."""
        table = EngineTable()
        (engine,) = list_engines(table, build_entry())
        engine.requests = 1
        table.unlist('engine-1')
        table.remove_unlisted()
        assert table.find('engine-1') is engine
        engine.requests = 0
        table.remove_unlisted()
        assert table.find('engine-1') is None


class TestPauses:
    """Pause unreachable engines."""

    def test_growing(self) -> None:
        """Lengthen the pause each time, up to a bound."""
        (engine,) = list_engines(EngineTable(), build_entry())
        now_s = 0.0
        pauses = []
        for _ in range(6):
            pauses.append(engine.pause(now_s))
            now_s = engine.paused_until_s
        assert pauses[0] == INITIAL_PAUSE_S
        assert pauses == sorted(pauses)
        assert pauses[-1] == MAX_PAUSE_S

    def test_one_pause_for_many(self) -> None:
        """Count simultaneous failures as one pause."""
        (engine,) = list_engines(EngineTable(), build_entry())
        for _ in range(10):
            engine.pause(0.0)
        assert engine.pauses == 1

    def test_single_trial(self) -> None:
        """Send one request at a time until one is answered."""
        (engine,) = list_engines(EngineTable(), build_entry())
        engine.pause(0.0)
        assert not engine.is_available(0.1)
        assert engine.is_available(1.0)
        engine.requests = 1
        assert not engine.is_available(1.0)
        engine.record_success(1.1)
        assert engine.is_available(1.1)


class TestLoads:
    """Add the loads of other hosts while their reports are fresh."""

    def test_fresh_and_old(self) -> None:
        """Ignore stale reports."""
        (engine,) = list_engines(EngineTable(), build_entry())
        engine.requests = 1
        engine.prefill_ms = 10.0
        engine.peers['near'] = PeerLoad(2, 20.0, reported_s=9.0)
        engine.peers['lost'] = PeerLoad(4, 40.0, reported_s=1.0)
        assert engine.total_requests(fresh_after_s=8.0) == 3
        assert engine.total_prefill_ms(fresh_after_s=8.0) == 30.0


class TestParts:
    """Track which prompt parts an engine has cached."""

    def test_cached(self) -> None:
        """Count the parts before the first one that is missing."""
        table = EngineTable()
        generation = build_generation(
            parts=(PromptPart('a', 600), PromptPart('b', 300)),
        )
        table.record_cached_parts(
            'engine-1',
            'small',
            generation.parts[:1],
            1.0,
        )

        def count(model: str, since_s: float) -> int:
            return table.count_cached_tokens(
                'engine-1',
                model,
                generation,
                since_s,
            )

        assert count('small', 0.0) == 600
        assert count('large', 0.0) == 0
        assert count('small', 2.0) == 0

    def test_gap(self) -> None:
        """Count nothing after a missing part."""
        table = EngineTable()
        generation = build_generation()
        table.record_cached_parts(
            'engine-1',
            'small',
            generation.parts[1:],
            1.0,
        )
        cached = table.count_cached_tokens('engine-1', 'small', generation, 0.0)
        assert cached == 0
