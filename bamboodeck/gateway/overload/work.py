"""Predict the work and the times of requests from what was observed.

Load pattern: kinds of requests differ by two orders of magnitude in their work,
and under load the same work takes longer.
"""

from dataclasses import dataclass

import msgspec

# Covers about the last ten answers of a route, 3 s on a host of a large fleet.
WEIGHT = 0.1
# Assumed before the first answer.
INITIAL_RUN_MS = 45.0
INITIAL_MS_PER_OUTPUT_TOKEN = 4.0


class RouteTimes(msgspec.Struct, frozen=True):
    """Hold the means of a route."""

    work_ms: float
    first_ms: float
    run_ms: float


@dataclass(slots=True)
class _Mean:
    mean: float
    known: bool = False

    def add(self, observed: float) -> None:
        if self.known:
            self.mean += WEIGHT * (observed - self.mean)
        else:
            self.mean = observed
            self.known = True


class WorkTimes:
    """Hold the means of all routes, services and models."""

    def __init__(self) -> None:
        """Start with the assumed times."""
        self._routes: dict[str, tuple[_Mean, _Mean, _Mean]] = {}
        self._services: dict[str, tuple[_Mean, _Mean]] = {}
        self._output_ms: dict[str, _Mean] = {}

    def record_run(
        self,
        service: str,
        route: str,
        times: RouteTimes,
    ) -> None:
        """Record the times of an answered request."""
        of_route = self._routes.setdefault(route, (_new(), _new(), _new()))
        for mean, observed in zip(
            of_route,
            msgspec.structs.astuple(times),
            strict=True,
        ):
            mean.add(observed)
        work, run = self._services.setdefault(service, (_new(), _new()))
        work.add(times.work_ms)
        run.add(times.run_ms)

    def record_output(self, model: str, ms_per_token: float) -> None:
        """Record the time between output tokens of a model."""
        mean = self._output_ms.setdefault(
            model,
            _Mean(INITIAL_MS_PER_OUTPUT_TOKEN),
        )
        mean.add(ms_per_token)

    def output_ms(self, model: str, tokens: int, slots: int) -> float:
        """Return the engine time of output, which the slots share."""
        mean = self._output_ms.get(model)
        ms_per_token = mean.mean if mean else INITIAL_MS_PER_OUTPUT_TOKEN
        return ms_per_token * tokens / max(slots, 1)

    def of_route(self, route: str) -> RouteTimes:
        """Return the means of a route."""
        means = self._routes.get(route)
        if means is None:
            return RouteTimes(INITIAL_RUN_MS, INITIAL_RUN_MS, INITIAL_RUN_MS)
        work, first, run = means
        return RouteTimes(work.mean, first.mean, run.mean)

    def of_service(self, service: str) -> tuple[float, float]:
        """Return the mean work and run time of a service."""
        means = self._services.get(service)
        if means is None:
            return INITIAL_RUN_MS, INITIAL_RUN_MS
        return means[0].mean, means[1].mean


def _new() -> _Mean:
    return _Mean(INITIAL_RUN_MS)
