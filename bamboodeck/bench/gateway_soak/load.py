"""Send caller requests over keep-alive connections."""

from random import Random

from bamboodeck.bench.gateway_soak.record import (
    RequestKind,
    ResponseRecorder,
    RouteChange,
    RunRecord,
    SentRequest,
)
from bamboodeck.bench.gateway_soak.system import SoakSystem
from bamboodeck.fakes.platform.documents import (
    CHAT,
    HOST,
    KEY,
    LOOK,
    PAY,
    SMALL,
)
from bamboodeck.http.client import HttpClient
from bamboodeck.http.messages import Header, HttpCall
from bamboodeck.platform import protocol

CALLERS_PER_HOST = 6
MAX_PAUSE_S = 0.3
NEW_CONNECTION_PROBABILITY = 0.1
# Longer than any response may take, so that late responses are recorded.
CLIENT_TIMEOUT_S = 20.0
STREAM_TIMEOUT_S = 8.0
CALL_TIMEOUT_S = 1.2
# Headers that only the gateway may set.
FORGED_HEADERS = (
    Header(protocol.TENANT, 'another'),
    Header(protocol.HOLD, 'forged'),
    Header(protocol.PRIORITY, '0'),
    Header(protocol.KV_FROM, '10.0.0.1:80/1'),
)
FORGED_HEADER_PROBABILITY = 0.2
REQUEST_TEMPLATES = (
    (RequestKind.STREAM, 'POST', CHAT),
    (RequestKind.UNSAFE, 'POST', PAY),
    (RequestKind.SAFE, 'GET', LOOK),
)
EXTRA_ROUTE_PROBABILITY = 0.15


class SoakLoad:
    """Run a fixed number of callers against every host."""

    def __init__(
        self,
        system: SoakSystem,
        record: RunRecord,
        random: Random,
    ) -> None:
        """Prepare the load without starting it."""
        self.in_flight_count = 0
        self._system = system
        self._record = record
        self._random = random
        self._stopped = False
        self._clock_s = system.loop.scheduler.now_s

    def start(self) -> None:
        """Start every caller after a random pause."""
        for host in self._system.hosts:
            for _ in range(CALLERS_PER_HOST):
                self._schedule_next(host, HttpClient(self._system.loop))

    def stop(self) -> None:
        """Send no more requests."""
        self._stopped = True

    def send(
        self,
        host: str,
        client: HttpClient,
        kind: RequestKind,
        method: str,
        path: str,
    ) -> SentRequest:
        """Send a request and return its record, filled in by the response."""
        number = len(self._record.requests) + 1
        streaming = kind is RequestKind.STREAM
        request = SentRequest(
            f'request-{number}',
            kind,
            host,
            method,
            f'{path}{number}?q={number}',
            b'' if method == 'GET' else b'body %d' % number,
            self._clock_s(),
            STREAM_TIMEOUT_S if streaming else CALL_TIMEOUT_S,
        )
        self._record.requests.append(request)
        self.in_flight_count += 1

        def on_ended() -> None:
            self.in_flight_count -= 1
            self._schedule_next(host, client)

        client.stream(
            HttpCall(
                self._system.get_caller_address(host),
                method,
                request.path,
                request.body,
                self._build_headers(request),
                timeout_s=CLIENT_TIMEOUT_S,
                host=HOST,
            ),
            ResponseRecorder(request, self._clock_s, on_ended),
            fresh_connection=self._random.random() < NEW_CONNECTION_PROBABILITY,
        )
        return request

    def _build_headers(self, request: SentRequest) -> tuple[Header, ...]:
        headers = [
            Header(protocol.REQUEST_ID, request.request_id),
            Header(protocol.DEADLINE_MS, str(int(request.timeout_s * 1000))),
            Header(protocol.API_KEY, KEY),
        ]
        if request.kind is RequestKind.STREAM:
            headers.append(Header(protocol.MODEL, SMALL))
            headers.append(Header(protocol.TOKEN_COUNTS, '100,20'))
            headers.append(Header(protocol.PROMPT_PREFIX, 'a1:60,b2:40'))
        if self._random.random() < FORGED_HEADER_PROBABILITY:
            headers.append(self._random.choice(FORGED_HEADERS))
        return tuple(headers)

    def _schedule_next(self, host: str, client: HttpClient) -> None:
        if self._stopped:
            client.close()
            return
        self._system.loop.scheduler.call_after(
            self._random.random() * MAX_PAUSE_S,
            lambda: self._send_random(host, client),
        )

    def _send_random(self, host: str, client: HttpClient) -> None:
        if self._stopped:
            client.close()
            return
        kind, method, path = self._random.choice(REQUEST_TEMPLATES)
        changes = self._record.routes
        if changes and self._random.random() < EXTRA_ROUTE_PROBABILITY:
            change: RouteChange = self._random.choice(changes[-3:])
            kind, method, path = (RequestKind.EXTRA, 'GET', change.prefix)
        self.send(host, client, kind, method, path)
