"""Test parsing, checking and rendering of the configuration."""

import hashlib
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bamboodeck.configuration.model import (
    Configuration,
    Customer,
    Engine,
    Model,
    Preset,
    Provider,
    VersionState,
)
from bamboodeck.configuration.parsing import (
    MAX_TEXT_BYTES,
    ConfigurationFaultsError,
    build_configuration,
    parse_configuration,
)
from bamboodeck.configuration.rendering import render_configuration

from .examples import EXAMPLE_TEXT, example_configuration

NAMES = st.from_regex('[a-z0-9][a-zA-Z0-9._-]{0,8}', fullmatch=True)
VERSIONS = st.builds('{0}@{1}'.format, NAMES, NAMES)
AMOUNTS = st.floats(0, 1e9)
SHARES = st.floats(0, 1)
SECONDS = st.floats(0.001, 1e6)
ZONES = st.text('abcŠžé -=#;:[]', min_size=1, max_size=9).map(
    lambda text: f'z{text}z',
)


def faults_of(text: str) -> list[str]:
    """Return the faults of a text."""
    with pytest.raises(ConfigurationFaultsError) as caught:
        parse_configuration(text, 'new.ini')
    return [str(fault) for fault in caught.value.faults]


@st.composite
def configurations(draw: st.DrawFn) -> Configuration:
    """Vary all sections of the example that refer to each other."""
    base = example_configuration()
    names = draw(st.lists(VERSIONS, min_size=1, max_size=4, unique=True))
    provider = draw(
        st.builds(
            Provider,
            NAMES,
            AMOUNTS,
            st.integers(0, 4_000_000_000).map(float),
        ),
    )
    models = tuple(draw(_models(name, provider.name)) for name in names)
    some_names = st.lists(
        st.sampled_from(names),
        min_size=1,
        unique=True,
    ).map(tuple)
    engines = tuple(
        Engine(name, f'10.0.0.{index}:80', *zone, versions, streams, fencing)
        for index, (name, zone, versions, streams, fencing) in enumerate(
            draw(
                st.lists(
                    st.tuples(
                        NAMES,
                        st.tuples(ZONES, ZONES),
                        some_names,
                        st.integers(1, 99),
                        st.booleans(),
                    ),
                    unique_by=lambda parts: parts[0],
                    max_size=3,
                ),
            ),
        )
    )
    preset = draw(
        st.builds(
            Preset,
            NAMES,
            st.floats(0.5, 0.9999),
            st.booleans(),
            AMOUNTS,
            AMOUNTS,
            st.floats(0.01, 2),
            SHARES,
            st.integers(1, 10),
            SHARES,
            st.booleans(),
        ),
    )
    customers = tuple(
        draw(
            st.builds(
                Customer,
                st.just(name),
                st.just((hashlib.sha256(name.encode()).hexdigest(),)),
                some_names,
                SHARES,
                st.floats(0.001, 1e6),
                AMOUNTS,
                AMOUNTS,
                st.booleans(),
            ),
        )
        for name in draw(st.lists(NAMES, max_size=3, unique=True))
    )
    return replace(
        base,
        preset_in_force=preset.name,
        presets=(preset,),
        providers=(provider,),
        models=models,
        customers=customers,
        engines=engines,
        draining=tuple(engine.name for engine in engines[:1]),
        stale_after_s=draw(SECONDS),
    )


def _models(name: str, provider: str) -> st.SearchStrategy[Model]:
    return st.builds(
        Model,
        st.just(name),
        st.just(VersionState.WITHDRAWN),
        st.just(provider),
        AMOUNTS,
        AMOUNTS,
        SHARES,
        st.floats(0.1, 1e6),
        SECONDS,
        st.integers(1, 2**63 - 1),
    )


class TestParseConfiguration:
    """Test the parsing and checking of a text."""

    def test_example(self) -> None:
        """Accept the example, with exactly one preset in force."""
        configuration = example_configuration(revision=12)
        assert configuration.preset.name == 'ordinary'
        withdrawn = configuration.models_by_name['large@1']
        assert withdrawn.withdrawn_since_revision == 12

    def test_all_faults_at_once(self) -> None:
        """Report faults of values, names and references together."""
        text = (
            EXAMPLE_TEXT.replace('preset = ordinary', 'preset = holiday')
            .replace('allowed_versions = small@1\n', 'allowed_versions = s@9\n')
            .replace('provider = northlight', 'provider = south', 1)
            .replace('[class chat]', '[class chat!]')
            .replace('weight = 4', 'weight = heavy\ncolour = red')
            .replace('rollout_baseline = small@1', 'rollout_baseline = small@2')
            .replace('role = administrator', 'role = viewer')
        )
        text = f'{text}[lease x]\n'
        faults = faults_of(text.replace('127.0.0.1:7402', '127.0.0.1:7401'))
        assert len(faults) == 10
        for expected in (
            '[general] preset: preset "holiday" does not exist',
            '[customer medena-desk] allowed_versions: version "s@9" does not',
            '[model medium@1] provider: provider "south" does not exist',
            '[class chat!]: name "chat!" is not 1 to 64 of:',
            '[customer school-board] weight: "heavy" is not a number; must',
            '[customer school-board] colour: this key is unknown',
            '[model small@2] rollout_baseline: "small@2" is not another',
            '[operator NAME] role: no operator has the role administrator',
            '[lease x]: this section is unknown',
            '[engine flanders-2] address: 127.0.0.1:7401 is already used by '
            'engine',
        ):
            assert any(expected in fault for fault in faults), expected

    def test_one_key_of_two_owners(self) -> None:
        """Refuse an operator's key that a customer also has."""
        first = example_configuration()
        shared = first.operators[0].key_sha256
        text = EXAMPLE_TEXT.replace(first.customers[0].key_sha256[0], shared)
        assert faults_of(text) == [
            'new.ini: [operator ada] key_sha256: the key is already used by '
            '[customer school-board]',
        ]

    def test_order_key_that_outlives_its_record(self) -> None:
        """Refuse a key lifetime longer than that of the order records."""
        text = EXAMPLE_TEXT.replace(
            'order_key_ttl_s = 86400',
            'order_key_ttl_s = 86401',
        )
        assert faults_of(text) == [
            'new.ini: [general] order_key_ttl_s: exceeds the maximum of '
            '86400 s',
        ]

    def test_size_bound(self) -> None:
        """Refuse a text that is too large for the key-value store."""
        text = EXAMPLE_TEXT + '# \n' * (MAX_TEXT_BYTES // 3)
        assert 'bytes exceeds the maximum of 900000' in faults_of(text)[0]

    @given(
        st.integers(0, len(EXAMPLE_TEXT)),
        st.integers(0, 40),
        st.text('[]=#@,\n \t9ŠaA\0', max_size=8),
    )
    @settings(derandomize=True, max_examples=100, deadline=None)
    def test_any_edit(self, start: int, length: int, insert: str) -> None:
        """Return faults or a document that survives a round trip."""
        text = EXAMPLE_TEXT[:start] + insert + EXAMPLE_TEXT[start + length :]
        try:
            document = parse_configuration(text, 'new.ini')
        except ConfigurationFaultsError as error:
            assert error.faults
            return
        again = render_configuration(document.draft)
        assert parse_configuration(again, 'again').draft == document.draft


class TestRenderConfiguration:
    """Test the rendering of a configuration."""

    @given(configurations())
    @settings(derandomize=True, max_examples=100, deadline=None)
    def test_round_trip(self, configuration: Configuration) -> None:
        """Restore the configuration from its rendered text."""
        text = render_configuration(configuration)
        document = parse_configuration(text, 'written')
        assert configuration == build_configuration(
            document,
            configuration.revision,
            configuration.change_id,
            configuration.changed_by,
        )
