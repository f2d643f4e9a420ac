"""Test the choice of an engine under bursts."""

from random import Random

import pytest

from bamboodeck.gateway.engines import EngineTable, PeerLoad
from bamboodeck.gateway.model import PromptPart
from bamboodeck.gateway.placement import HostLocation, Placer
from bamboodeck.gateway.prefill import PrefillSpeeds
from tests.gateway.samples import (
    MODELS,
    build_entry,
    build_generation,
    build_request,
    list_engines,
)

REGIONS = {'gent': 'flanders', 'brugge': 'flanders', 'namur': 'wallonia'}


def build_placer(table: EngineTable) -> Placer:
    """Build a placer in one of three zones."""
    prefill = PrefillSpeeds()
    prefill.add_models(MODELS)
    return Placer(
        HostLocation('gent', REGIONS),
        table,
        prefill,
        cache_retention_s=10.0,
    )


class TestLoad:
    """Send work where the first token is due soonest."""

    def test_shorter_queue(self) -> None:
        """Avoid an engine with outstanding prefill of any host."""
        table = EngineTable()
        engines = list_engines(table, build_entry('a'), build_entry('b'))
        engines[0].peers['other'] = PeerLoad(1, 500.0, reported_s=1.0)
        estimate = build_placer(table).choose(
            build_request(),
            engines,
            'small',
            1.0,
        )
        assert estimate.engine is engines[1]

    def test_failing_engine(self) -> None:
        """Avoid an engine that fails part of its requests."""
        table = EngineTable()
        engines = list_engines(table, build_entry('a'), build_entry('b'))
        for _ in range(5):
            engines[1].record_failure()
        estimate = build_placer(table).choose(
            build_request(),
            engines,
            'small',
            0.0,
        )
        assert estimate.engine is engines[0]

    def test_usual_failures(self) -> None:
        """Stay in the zone when every engine fails at the same rate."""
        table = EngineTable()
        near, *far = list_engines(
            table,
            build_entry('near', zone='gent'),
            *(
                build_entry(f'far-{number}', zone='namur')
                for number in range(5)
            ),
        )
        random = Random(3)
        chosen = []
        for _ in range(400):
            for engine in (near, *far):
                if random.random() < 0.14:
                    engine.record_failure()
                else:
                    engine.record_success(0.0)
            estimate = build_placer(table).choose(
                build_request(generation=None),
                (near, *far),
                None,
                0.0,
            )
            chosen.append(estimate.engine is near)
        assert sum(chosen) >= 0.95 * len(chosen)

    def test_burst(self) -> None:
        """Spread a burst of long prompts over the engines."""
        table = EngineTable()
        names = tuple('abcdef')
        engines = list_engines(table, *map(build_entry, names))
        placer = build_placer(table)
        random = Random(3)
        for number in range(120):
            generation = build_generation(
                prompt_tokens=random.randrange(500, 12_000),
                parts=(PromptPart('shared', 400), PromptPart(f'{number}', 9)),
            )
            estimate = placer.choose(
                build_request(generation=generation),
                engines,
                'large',
                0.0,
            )
            estimate.engine.requests += 1
            estimate.engine.prefill_ms += estimate.prefill_ms
        loads = [engine.prefill_ms for engine in engines]
        assert max(loads) < 1.15 * sum(loads) / len(loads)

    def test_plain_calls(self) -> None:
        """Spread plain calls by running requests."""
        table = EngineTable()
        engines = list_engines(table, build_entry('a'), build_entry('b'))
        placer = build_placer(table)
        request = build_request(generation=None)
        for _ in range(20):
            placer.choose(request, engines, None, 0.0).engine.requests += 1
        assert [engine.requests for engine in engines] == [10, 10]


class TestPrompts:
    """Send prompts where their parts are cached."""

    @pytest.mark.parametrize('holder', ['a', 'b'])
    def test_cached_parts(self, holder: str) -> None:
        """Prefer the engine that has cached the shared part."""
        table = EngineTable()
        engines = list_engines(table, build_entry('a'), build_entry('b'))
        parts = (PromptPart('shared', 8000), PromptPart('own', 500))
        generation = build_generation(prompt_tokens=9000, parts=parts)
        table.record_cached_parts(holder, 'large', parts, 0.0)
        estimate = build_placer(table).choose(
            build_request(generation=generation),
            engines,
            'large',
            1.0,
        )
        assert estimate.engine.entry.engine_id == holder

    def test_same_on_every_host(self) -> None:
        """Choose the same engine on hosts that exchange no messages."""
        chosen = set()
        for _ in range(2):
            table = EngineTable()
            engines = list_engines(table, *map(build_entry, 'abcdef'))
            estimate = build_placer(table).choose(
                build_request(),
                engines,
                'small',
                0.0,
            )
            chosen.add(estimate.engine.entry.engine_id)
        assert len(chosen) == 1


class TestDistance:
    """Send traffic between zones only under load."""

    def test_near_first(self) -> None:
        """Prefer the own zone unless it is much slower."""
        table = EngineTable()
        near, far = list_engines(
            table,
            build_entry('near', zone='gent'),
            build_entry('far', zone='namur'),
        )
        request = build_request(body=b'x' * 18_000)
        placer = build_placer(table)
        near.prefill_ms = 100.0
        assert placer.choose(request, (near, far), 'small', 0.0).engine is near
        near.prefill_ms = 1000.0
        assert placer.choose(request, (near, far), 'small', 0.0).engine is far

    @pytest.mark.parametrize('zone', ['brugge', 'namur'])
    def test_small_prompts(self, zone: str) -> None:
        """Apply affinity within the zone only."""
        table = EngineTable()
        engines = list_engines(
            table,
            build_entry('near', zone='gent'),
            *(build_entry(f'far-{number}', zone=zone) for number in range(9)),
        )
        placer = build_placer(table)
        for number in range(30):
            parts = (PromptPart(f'shared-{number}', 60), PromptPart('own', 40))
            generation = build_generation(prompt_tokens=100, parts=parts)
            estimate = placer.choose(
                build_request(generation=generation),
                engines,
                'small',
                0.0,
            )
            assert estimate.engine is engines[0]

    def test_round_trips(self) -> None:
        """Distinguish zones of the own region from others."""
        location = HostLocation('gent', REGIONS)
        own = location.rtt_ms('gent')
        region = location.rtt_ms('brugge')
        other = location.rtt_ms('namur')
        assert sorted((other, region, own)) == [0.0, region, other]
        assert region < other
        assert location.rtt_ms('unheard-of') == other


class TestPrefillSpeeds:
    """Learn the prefill speeds of models."""

    def test_learning(self) -> None:
        """Approach the true speed by noisy observations."""
        prefill = PrefillSpeeds()
        prefill.add_models(MODELS)
        random = Random(5)
        true_ms_per_token = 0.02
        for _ in range(400):
            tokens = random.randrange(1000, 10_000)
            observed = true_ms_per_token * tokens * random.uniform(0.7, 1.3)
            prefill.correct(
                'small',
                prefill.estimate_ms('small', tokens),
                observed,
            )
        learned = prefill.estimate_ms('small', 1000) / 1000
        assert 0.8 < learned / true_ms_per_token < 1.2

    def test_hung_engine(self) -> None:
        """Limit the effect of a single outlier."""
        prefill = PrefillSpeeds()
        prefill.add_models(MODELS)
        before = prefill.estimate_ms('small', 1000)
        prefill.correct('small', 10.0, 100_000.0)
        assert prefill.estimate_ms('small', 1000) < 1.1 * before
