"""Stand-in for the rate-limited weight store."""

import math
from dataclasses import dataclass

import msgspec

from bamboodeck.external.weight_store import FetchWeights, WeightsFetched
from bamboodeck.fakes.stand_in import StandIn, respond_error, respond_json
from bamboodeck.http.messages import Address, ApiRequest
from bamboodeck.http.responder import Responder
from bamboodeck.logs import EventLog
from bamboodeck.loop.program import Loop


@dataclass(frozen=True)
class WeightSettings:
    """Configure the weight size, the transfer rate and the concurrency."""

    size_bytes: int = 100_000_000
    rate_bytes_per_s: float = 100_000_000
    max_fetches: int = 2


class WeightStore:
    """Serve up to `max_fetches` fetches at once, which share the rate."""

    def __init__(
        self,
        loop: Loop,
        address: Address,
        settings: WeightSettings,
        log: EventLog,
    ) -> None:
        """Listen on an address."""
        self.stand_in = StandIn(loop, address, 'weights', (), log)
        self.fetched: list[FetchWeights] = []
        self._settings = settings
        self._scheduler = loop.scheduler
        self._available_s = 0.0
        self._fetching = 0
        self.stand_in.add_route('POST', '/fetch', self._handle_fetch)
        self.stand_in.add_route('GET', '/record', self._show_record)

    def _handle_fetch(self, request: ApiRequest, responder: Responder) -> None:
        try:
            fetch = msgspec.json.decode(request.body, type=FetchWeights)
        except msgspec.DecodeError as error:
            respond_error(responder, 400, 'bad_request', str(error))
            return
        now_s = self._scheduler.now_s()
        if self._fetching >= self._settings.max_fetches:
            wait_s = math.ceil(max(self._available_s - now_s, 1))
            respond_error(
                responder,
                429,
                'rate_limited',
                f'more than {self._settings.max_fetches} fetches at once',
                {'Retry-After': str(wait_s)},
            )
            return
        self._fetching += 1
        transfer_s = self._settings.size_bytes / self._settings.rate_bytes_per_s
        self._available_s = max(self._available_s, now_s) + transfer_s
        self._scheduler.call_after(
            self._available_s - now_s,
            lambda: self._finish(fetch, responder),
        )

    def _finish(self, fetch: FetchWeights, responder: Responder) -> None:
        self._fetching -= 1
        self.fetched.append(fetch)
        fetched = WeightsFetched(
            fetch.version,
            fetch.engine,
            self._settings.size_bytes,
        )
        respond_json(responder, 200, fetched)

    def _show_record(self, request: ApiRequest, responder: Responder) -> None:
        respond_json(responder, 200, {'fetched': self.fetched})
