"""Model the expected result of a sequence of changes."""

from dataclasses import dataclass, field

from bamboodeck.configuration import changes
from bamboodeck.configuration.model import Configuration, VersionState

WITHDRAWN = VersionState.WITHDRAWN


@dataclass
class NaiveConfiguration:
    """Track the preset, the drained engines and the versions' states."""

    preset: str = ''
    drained: set[str] = field(default_factory=set)
    states: dict[str, VersionState] = field(default_factory=dict)
    withdrawn_since: dict[str, int] = field(default_factory=dict)

    def apply(
        self,
        change: changes.ConfigurationChange,
        revision: int,
        example: Configuration,
    ) -> None:
        """Apply a change that was made at a revision."""
        match change:
            case changes.SetPreset(preset):
                assert preset in {'ordinary', 'peak', 'maintenance'}
                self.preset = preset
            case changes.DrainEngine(engine):
                self.drained.add(engine)
            case changes.UndrainEngine(engine):
                self.drained.discard(engine)
            case changes.WithdrawVersion(version):
                self.set_state(version, WITHDRAWN, revision)
            case changes.SetVersionState(version, state):
                revived = self.states[version] is WITHDRAWN
                assert change.revive or not revived
                self.set_state(version, state, revision)
            case changes.ReplaceDocument():
                self.preset = 'ordinary'
                self.drained = set()
                for model in example.models:
                    assert (
                        self.states.get(model.name) is not WITHDRAWN
                        or model.state is WITHDRAWN
                    )
                    self.set_state(model.name, model.state, revision)

    def set_state(
        self,
        version: str,
        state: VersionState,
        revision: int,
    ) -> None:
        """Set the state of a version and the revision of its withdrawal."""
        self.states[version] = state
        if state is WITHDRAWN:
            self.withdrawn_since.setdefault(version, revision)
        else:
            self.withdrawn_since.pop(version, None)

    def compare(self, configuration: Configuration) -> None:
        """Assert that a configuration equals this model."""
        assert configuration.preset.name == self.preset
        assert set(configuration.draining) == self.drained
        assert self.states == {
            model.name: model.state for model in configuration.models
        }
        assert self.withdrawn_since == {
            model.name: model.withdrawn_since_revision
            for model in configuration.models
            if model.state is WITHDRAWN
        }
