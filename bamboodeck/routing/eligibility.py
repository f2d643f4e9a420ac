"""Determine which versions a request may run on."""

from collections.abc import Mapping
from dataclasses import dataclass

from bamboodeck.configuration.model import (
    Configuration,
    Model,
    VersionState,
)
from bamboodeck.routing.messages import (
    RefusalCode,
    RouteRequest,
    RouteRefused,
)

AUTO_MODEL = 'auto'
FRESHNESS_RETRY_S = 5.0
_CacheKey = tuple[tuple[str, ...], str]


@dataclass(frozen=True, slots=True)
class EligibleVersions:
    """List the steady versions and roll-outs that may run a request.

    `fixed` is set if the session or the caller determines the version.
    """

    steady: tuple[Model, ...]
    rollouts: tuple[Model, ...]
    rejected_count: int
    fixed: bool = False


class VersionCatalogue:
    """Look up eligible versions in one configuration revision.

    `blocked` maps the versions that this node doesn't use to the reasons.
    """

    def __init__(
        self,
        configuration: Configuration,
        blocked: Mapping[str, str],
        *,
        fresh: bool,
    ) -> None:
        """Copy the blocked versions; build a new catalogue for each change."""
        self._models = configuration.models_by_name
        self._blocked = dict(blocked)
        self._fresh = fresh
        self._cache: dict[_CacheKey, EligibleVersions] = {}

    def eligible(
        self, request: RouteRequest
    ) -> EligibleVersions | RouteRefused:
        """Return the versions that may run a request, or a refusal."""
        session_version = request.session_version
        if session_version is not None:
            refused = self._check_named(request, session_version)
            if refused is None:
                return self._pin(session_version)
            if not request.customer.move_sessions:
                return refused
        requested = request.requested_model or AUTO_MODEL
        if '@' in requested:
            refused = self._check_named(request, requested)
            return refused or self._pin(requested)
        return self._find_eligible(request, requested)

    def _find_eligible(
        self,
        request: RouteRequest,
        requested: str,
    ) -> EligibleVersions | RouteRefused:
        cache_key = (request.customer.allowed_versions, requested)
        found = self._cache.get(cache_key)
        if found is None:
            found = self._filter_models(request, requested)
            self._cache[cache_key] = found
        if found.steady or found.rollouts:
            return found
        return RouteRefused(
            RefusalCode.NO_VERSION,
            'no allowed version of "{0}" is available to customer "{1}"'.format(
                requested,
                request.customer.name,
            ),
            0,
            found.rejected_count,
        )

    def _filter_models(
        self, request: RouteRequest, requested: str
    ) -> EligibleVersions:
        usable = [
            model
            for name in request.customer.allowed_versions
            if _is_of_model(name, requested)
            and (model := self._models.get(name)) is not None
            and self._is_usable(model)
        ]
        steady = tuple(
            model for model in usable if model.state is VersionState.STEADY
        )
        rollouts = tuple(
            model for model in usable if model.state is VersionState.ROLLOUT
        )
        return EligibleVersions(
            steady, rollouts, len(self._models) - len(usable)
        )

    def _is_usable(self, model: Model) -> bool:
        if model.name in self._blocked:
            return False
        if model.state is VersionState.ROLLOUT:
            return self._fresh
        return model.state is VersionState.STEADY

    def _pin(self, name: str) -> EligibleVersions:
        model = self._models[name]
        rejected = len(self._models) - 1
        if model.state is VersionState.ROLLOUT:
            return EligibleVersions((), (model,), rejected, fixed=True)
        return EligibleVersions((model,), (), rejected, fixed=True)

    def _check_named(
        self,
        request: RouteRequest,
        name: str,
    ) -> RouteRefused | None:
        model = self._models.get(name)
        if model is None:
            return self._refuse(
                RefusalCode.VERSION_UNKNOWN,
                f'version "{name}" does not exist',
            )
        if name not in request.customer.allowed_versions:
            return self._refuse(
                RefusalCode.VERSION_NOT_ALLOWED,
                'version "{0}" is not allowed for customer "{1}"'.format(
                    name,
                    request.customer.name,
                ),
            )
        if model.state is VersionState.WITHDRAWN:
            return self._refuse(
                RefusalCode.VERSION_WITHDRAWN,
                'version "{0}" is withdrawn since revision {1}'.format(
                    name,
                    model.withdrawn_since_revision,
                ),
            )
        return self._check_usable(model)

    def _check_usable(self, model: Model) -> RouteRefused | None:
        reason = self._blocked.get(model.name)
        if reason is not None:
            return self._refuse(
                RefusalCode.VERSION_BLOCKED,
                f'version "{model.name}" is blocked: {reason}',
            )
        if model.state is VersionState.ROLLOUT and not self._fresh:
            return self._refuse(
                RefusalCode.VERSION_IN_ROLLOUT,
                'version "{0}" is in roll-out and the configuration'
                ' is stale'.format(model.name),
                FRESHNESS_RETRY_S,
            )
        return None

    def _refuse(
        self,
        code: RefusalCode,
        message: str,
        retry_after_s: float = 0,
    ) -> RouteRefused:
        return RouteRefused(code, message, retry_after_s, len(self._models))


def _is_of_model(name: str, requested: str) -> bool:
    return requested == AUTO_MODEL or name.partition('@')[0] == requested
