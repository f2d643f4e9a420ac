"""Test what a host knows of engines."""

from bamboodeck.gateway.engines import (
    INITIAL_PAUSE_S,
    MAX_PAUSE_S,
    EngineTable,
    PeerLoad,
)
from bamboodeck.gateway.model import EngineState, PromptPart
from tests.gateway.samples import build_entry, build_generation, list_engines


class TestLives:
    """Tell the lives of an engine apart."""

    def test_draining_stays(self) -> None:
        """Keep an engine leaving when older news comes late."""
        table = EngineTable()
        draining = build_entry(state=EngineState.DRAINING, sequence=3)
        (engine,) = list_engines(table, draining)
        assert not table.upsert(build_entry(sequence=2))
        assert not engine.is_available(0.0)

    def test_draining_stays_with_newer_news(self) -> None:
        """Keep an engine leaving for the rest of its life."""
        table = EngineTable()
        (engine,) = list_engines(table, build_entry(state=EngineState.DRAINING))
        table.upsert(build_entry(sequence=9))
        assert table.find('engine-1') is engine
        assert not engine.is_available(0.0)

    def test_new_life(self) -> None:
        """Know nothing of before when an engine starts again."""
        table = EngineTable()
        (old,) = list_engines(table, build_entry(state=EngineState.DRAINING))
        old.pause(0.0)
        table.upsert(build_entry(started_unix_ms=2000, sequence=0))
        new = table.find('engine-1')
        assert new is not old
        assert new.is_available(0.0)

    def test_earlier_life(self) -> None:
        """Ignore news of an earlier life."""
        table = EngineTable()
        list_engines(table, build_entry(started_unix_ms=2000))
        assert not table.upsert(build_entry(started_unix_ms=1000, sequence=50))
        assert table.find('engine-1').entry.started_unix_ms == 2000

    def test_listed_again(self) -> None:
        """Use an engine whose entry is back."""
        table = EngineTable()
        (engine,) = list_engines(table, build_entry())
        assert table.unlist('engine-1')
        assert not engine.is_available(0.0)
        assert table.upsert(build_entry(sequence=2))
        assert engine.is_available(0.0)

    def test_forgotten(self) -> None:
        """Keep an unlisted engine while something runs there."""
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
    """Leave engines alone that can't be reached."""

    def test_growing(self) -> None:
        """Pause longer each time, up to a bound."""
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
        """Count the failures of one moment once."""
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
    """Add the loads of other hosts while their news is fresh."""

    def test_fresh_and_old(self) -> None:
        """Forget what is too old."""
        (engine,) = list_engines(EngineTable(), build_entry())
        engine.requests = 1
        engine.prefill_ms = 10.0
        engine.peers['near'] = PeerLoad(2, 20.0, reported_s=9.0)
        engine.peers['lost'] = PeerLoad(4, 40.0, reported_s=1.0)
        assert engine.total_requests(fresh_after_s=8.0) == 3
        assert engine.total_prefill_ms(fresh_after_s=8.0) == 30.0


class TestParts:
    """Remember which parts of prompts an engine holds."""

    def test_held(self) -> None:
        """Count the parts up to the first that is missing."""
        table = EngineTable()
        generation = build_generation(
            parts=(PromptPart('a', 600), PromptPart('b', 300)),
        )
        table.record_cached_parts(
            'engine-1', 'small', generation.parts[:1], 1.0
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
        """Count nothing behind a part that is missing."""
        table = EngineTable()
        generation = build_generation()
        table.record_cached_parts(
            'engine-1', 'small', generation.parts[1:], 1.0
        )
        held = table.count_cached_tokens('engine-1', 'small', generation, 0.0)
        assert held == 0
