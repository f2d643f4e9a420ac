"""Admission control of requests and retries on an entry host."""

from collections.abc import Callable

from bamboodeck.admission.admission import Admission
from bamboodeck.admission.limits import LimitShare
from bamboodeck.admission.messages import AdmissionRequest, Refused
from bamboodeck.admission.retries import RetryBudget
from bamboodeck.chat.context import AttemptEnding, RequestToAdmit
from bamboodeck.configuration.model import Configuration, Model, RequestClass
from bamboodeck.entry.limits import NodeLimits
from bamboodeck.entry.poison import PoisonExchange
from bamboodeck.environment import Environment
from bamboodeck.refusals import (
    TOO_MANY_REQUESTS,
    UNAVAILABLE,
    Refusal,
    RunState,
)

BILLS_FULL_RETRY_AFTER_S = 10.0
_LIMIT_CODES = frozenset(('request_rate_limited', 'token_rate_limited'))


class AdmissionControl:
    """Apply limits, load bounds, the retry budget and the poison guard."""

    def __init__(
        self,
        environment: Environment,
        limits: NodeLimits,
        poison: PoisonExchange,
        has_room_for_bills: Callable[[], bool],
    ) -> None:
        """Start without capacity until a configuration is applied."""
        self.poison = poison
        self._environment = environment
        self._limits = limits
        self._has_room_for_bills = has_room_for_bills
        self._admission = Admission(0, 0)
        self._retries = RetryBudget(0)
        self._fastest: dict[str, Model] = {}

    def apply_configuration(
        self,
        configuration: Configuration,
        *,
        zone: str,
        zone_nodes: int,
        fleet_nodes: int,
    ) -> None:
        """Apply the limits of a revision, split evenly until shares arrive."""
        self.poison.apply_configuration(configuration)
        capacity_streams = sum(
            engine.capacity_streams
            for engine in configuration.engines
            if engine.zone == zone and engine.name not in configuration.draining
        )
        self._admission.set_capacity(
            capacity_streams / zone_nodes,
            configuration.preset.max_load,
        )
        self._retries.ratio = configuration.preset.retry_ratio
        self.set_shares(self._limits.shares(configuration, fleet_nodes))
        self._fastest = {
            customer.name: _find_fastest(configuration, customer)
            for customer in configuration.customers
        }

    def set_shares(self, shares: tuple[LimitShare, ...]) -> None:
        """Apply new shares of the customers' limits."""
        self._admission.set_shares(shares, self._environment.monotonic_s())

    def admit(self, request: RequestToAdmit) -> Refusal | None:
        """Admit a request, or return the refusal."""
        self._limits.count(request.customer.name, request.tokens)
        poisoned = self.check_poison(request.fingerprint)
        if poisoned is not None:
            return poisoned
        if not self._has_room_for_bills():
            return Refusal(
                UNAVAILABLE,
                'bills_full',
                'too many bill records wait for the key-value service',
                RunState.NOT_RUN,
                BILLS_FULL_RETRY_AFTER_S,
            )
        answer = self._admission.decide(
            AdmissionRequest(
                request.customer.name,
                request.customer.weight,
                request.tokens,
                request.deadline_s,
                self._expected_s(request.customer.name, request.request_class),
            ),
            self._environment.monotonic_s(),
        )
        if isinstance(answer, Refused):
            return _build_refusal(answer)
        self._retries.note_request()
        return None

    def end(self, customer: str, service_s: float) -> None:
        """Release an admitted request that took `service_s` seconds."""
        self._admission.finish(customer, service_s)

    def take_retry(self) -> bool:
        """Take a retry from the budget; return False if none is left."""
        return self._retries.try_retry(idempotent=True)

    def check_poison(self, fingerprint: str) -> Refusal | None:
        """Return a refusal if the request has crashed too many engines."""
        refused = self.poison.check(fingerprint)
        if refused is None:
            return None
        # Earlier attempts of the same request have run.
        return Refusal(
            UNAVAILABLE,
            refused.code.value,
            refused.message,
            RunState.UNKNOWN,
            refused.retry_after_s,
        )

    def engines_to_avoid(self, fingerprint: str) -> frozenset[str]:
        """Return the engines where a crash could not be attributed."""
        return self.poison.engines_to_avoid(fingerprint)

    def reserve(
        self,
        fingerprint: str,
        engine: str,
        on_change: Callable[[], None],
    ) -> bool:
        """Return whether a request may run now; else call back to reroute."""
        return self.poison.reserve(fingerprint, engine, on_change)

    def wait(self, fingerprint: str, on_change: Callable[[], None]) -> bool:
        """Return whether a request must wait; if so, call back to reroute."""
        return self.poison.wait(fingerprint, on_change)

    def attempt_started(self, fingerprint: str, engine: str) -> None:
        """Record the start of an attempt."""
        self.poison.start(fingerprint, engine)

    def attempt_ended(
        self,
        fingerprint: str,
        engine: str,
        ending: AttemptEnding,
    ) -> None:
        """Record the end of an attempt."""
        match ending:
            case AttemptEnding.FINISHED:
                self.poison.finish(fingerprint, engine)
            case AttemptEnding.CRASHED:
                self.poison.crash(engine)
            case _:
                self.poison.cancel(fingerprint, engine)

    def _expected_s(self, customer: str, request_class: RequestClass) -> float:
        model = self._fastest.get(customer)
        if model is None:
            return 0.0
        tokens = request_class.expected_output_tokens
        return model.first_token_s + tokens / model.tokens_per_s


def _find_fastest(configuration: Configuration, customer) -> Model | None:
    models = [
        model
        for model in configuration.models
        if model.name in customer.allowed_versions
        and not model.withdrawn_since_revision
    ]
    if not models:
        return None
    return max(models, key=lambda model: model.tokens_per_s)


def _build_refusal(refused: Refused) -> Refusal:
    status = UNAVAILABLE
    if refused.code.value in _LIMIT_CODES:
        status = TOO_MANY_REQUESTS
    return Refusal(
        status,
        refused.code.value,
        refused.message,
        RunState.NOT_RUN,
        refused.retry_after_s,
    )
