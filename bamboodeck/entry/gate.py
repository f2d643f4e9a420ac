"""Admit requests and retries on an entry host."""

from collections.abc import Callable

from bamboodeck.admission.admission import Admission
from bamboodeck.admission.limits import LimitShare
from bamboodeck.admission.messages import AdmissionRequest, Refused
from bamboodeck.admission.retries import RetryBudget
from bamboodeck.chat.context import AdmissionWanted, AttemptEnding
from bamboodeck.configuration.model import Configuration, Model, RequestClass
from bamboodeck.entry.poison import PoisonExchange
from bamboodeck.entry.limits import NodeLimits
from bamboodeck.environment import Environment
from bamboodeck.refusals import (
    TOO_MANY_REQUESTS,
    UNAVAILABLE,
    Refusal,
    RunState,
)

BILLS_FULL_RETRY_AFTER_S = 10.0
_LIMIT_CODES = frozenset(('request_rate_limited', 'token_rate_limited'))


class NodeGatekeeper:
    """Apply limits, load bounds, the retry budget and the poison guard."""

    def __init__(
        self,
        environment: Environment,
        limits: NodeLimits,
        poison: PoisonExchange,
        has_room_for_bills: Callable[[], bool],
    ) -> None:
        """Start closed until a configuration comes."""
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
        """Take the bounds of a revision; limits are split evenly at first."""
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
        """Take new shares of the customers' limits."""
        self._admission.set_shares(shares, self._environment.monotonic_s())

    def admit(self, asked: AdmissionWanted) -> Refusal | None:
        """Take a request in, or say why not."""
        self._limits.count(asked.customer.name, asked.tokens)
        poisoned = self.check_poison(asked.fingerprint)
        if poisoned is not None:
            return poisoned
        if not self._has_room_for_bills():
            return Refusal(
                UNAVAILABLE,
                'bills_full',
                'too many bills wait for the key-value service',
                RunState.NOT_RUN,
                BILLS_FULL_RETRY_AFTER_S,
            )
        answer = self._admission.decide(
            AdmissionRequest(
                asked.customer.name,
                asked.customer.weight,
                asked.tokens,
                asked.deadline_s,
                self._expected_s(asked.customer.name, asked.request_class),
            ),
            self._environment.monotonic_s(),
        )
        if isinstance(answer, Refused):
            return _build_refusal(answer)
        self._retries.note_request()
        return None

    def end(self, customer: str, service_s: float) -> None:
        """Learn that an admitted request has ended."""
        self._admission.finish(customer, service_s)

    def may_retry(self) -> bool:
        """Take a retry from the budget, if there is one."""
        return self._retries.try_retry(idempotent=True)

    def check_poison(self, fingerprint: str) -> Refusal | None:
        """Say why a request must not be tried again, if it must not."""
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
        """Return the engines on which an attempt would blur a crash."""
        return self.poison.engines_to_avoid(fingerprint)

    def reserve(
        self,
        fingerprint: str,
        engine: str,
        on_change: Callable[[], None],
    ) -> bool:
        """Tell whether a request may run now, or say later to route anew."""
        return self.poison.reserve(fingerprint, engine, on_change)

    def wait(self, fingerprint: str, on_change: Callable[[], None]) -> bool:
        """Tell whether a request without an engine waits for its turn."""
        return self.poison.wait(fingerprint, on_change)

    def attempt_started(self, fingerprint: str, engine: str) -> None:
        """Learn that a request runs on an engine."""
        self.poison.start(fingerprint, engine)

    def attempt_ended(
        self,
        fingerprint: str,
        engine: str,
        ending: AttemptEnding,
    ) -> None:
        """Learn how a request's run on an engine ended."""
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
