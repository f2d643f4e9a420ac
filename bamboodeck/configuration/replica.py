"""Maintain a node's copy of the configuration in force."""

import math
from dataclasses import dataclass

from bamboodeck.configuration.model import Configuration
from bamboodeck.configuration.records import read_configuration
from bamboodeck.errors import InputError
from bamboodeck.invariants import Invariants
from bamboodeck.settings.faults import Fault, FaultsError

START_GRACE_S = 2.0
_NO_REVISION = 0


@dataclass(frozen=True, slots=True)
class Accepted:
    """Report that a configuration came into force."""

    configuration: Configuration
    previous_revision: int
    source: str


@dataclass(frozen=True, slots=True)
class Ignored:
    """Report why a configuration isn't newer than the one in force."""

    reason: str


@dataclass(frozen=True, slots=True)
class Refused:
    """Report the faults of a newer configuration."""

    faults: tuple[Fault, ...]


OfferOutcome = Accepted | Ignored | Refused


class ConfigurationReplica:
    """Keep the highest revision offered by any source, and its age."""

    def __init__(self, invariants: Invariants, started_s: float) -> None:
        """Start without a configuration; `started_s` is monotonic time."""
        self.configuration: Configuration | None = None
        self.body = b''
        self._invariants = invariants
        self._started_s = started_s
        self._confirmed_s = -math.inf

    @property
    def revision(self) -> int:
        """Return the revision in force, 0 if there is none."""
        if self.configuration is None:
            return _NO_REVISION
        return self.configuration.revision

    def offer(
        self,
        revision: int,
        body: bytes,
        source: str,
    ) -> OfferOutcome:
        """Put a stored body in force if it is valid and newer.

        `source` names where it came from: the store, a watch or a peer.
        """
        in_force = self.revision
        if revision < in_force or revision <= _NO_REVISION:
            return Ignored(
                f'revision {revision} from {source} is lower than '
                f'revision {in_force} in force',
            )
        if revision == in_force:
            return self._check_same_revision(body, source)
        try:
            configuration = read_configuration(revision, body)
        except FaultsError as faults_error:
            return Refused(faults_error.faults)
        except InputError as error:
            return Refused((Fault(source, '', '', str(error)),))
        self._accept(configuration, body)
        return Accepted(configuration, in_force, source)

    def confirm_revision(
        self, store_revision: int, now_s: float, age_s: float = 0
    ) -> None:
        """Record that the store had a revision `age_s` before now.

        Only the revision in force confirms freshness: a higher one has not
        arrived here yet, and a lower one is a stale value.
        """
        if store_revision == self.revision and self.configuration:
            self._confirmed_s = max(self._confirmed_s, now_s - max(age_s, 0))

    def age_s(self, now_s: float) -> float:
        """Return the seconds since the last confirmation, maybe infinite."""
        return max(now_s - self._confirmed_s, 0)

    def is_stale(self, now_s: float) -> bool:
        """Return whether versions under roll-out get no new work here."""
        if self.configuration is None:
            return True
        return self.age_s(now_s) > self.configuration.stale_after_s

    def is_ready(self, now_s: float) -> bool:
        """Return whether the node may serve with its configuration.

        A starting node whose revision isn't confirmed as fresh collects its
        peers' revisions for `START_GRACE_S`, so that it doesn't serve by the
        revision of a single stale peer.
        """
        if self.configuration is None:
            return False
        gathered = now_s - self._started_s >= START_GRACE_S
        return gathered or not self.is_stale(now_s)

    def _check_same_revision(self, body: bytes, source: str) -> OfferOutcome:
        if body == self.body:
            return Ignored(f'revision {self.revision} is already in force')
        message = (
            f'content of revision {self.revision} differs from the one in force'
        )
        return Refused((Fault(source, '', '', message),))

    def _accept(self, configuration: Configuration, body: bytes) -> None:
        self._invariants.check(
            'configuration_revision_grows',
            f'revision {configuration.revision} after {self.revision}',
            holds=configuration.revision > self.revision,
        )
        in_force = [
            preset.name
            for preset in configuration.presets
            if preset.name == configuration.preset_in_force
        ]
        self._invariants.check(
            'one_preset_in_force',
            f'presets in force: {in_force}',
            holds=len(in_force) == 1,
        )
        self.configuration = configuration
        self.body = body
