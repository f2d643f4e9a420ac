"""Send requests as callers do, over connections that they keep."""

from random import Random

from bamboodeck.bench.gateway_soak.record import (
    RequestKind,
    RouteChange,
    RunRecord,
    Sent,
    SentSink,
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
LONGEST_PAUSE_S = 0.3
# Callers abandon their connections this often.
NEW_CONNECTION_PART = 0.1
# Callers wait longer than any answer may take, to see what is overdue.
PATIENCE_S = 20.0
STREAM_TIMEOUT_S = 8.0
CALL_TIMEOUT_S = 1.2
# Headers that only the gateway may set.
FORGED = (
    Header(protocol.TENANT, 'another'),
    Header(protocol.HOLD, 'forged'),
    Header(protocol.PRIORITY, '0'),
    Header(protocol.KV_FROM, '10.0.0.1:80/1'),
)
FORGED_PART = 0.2
KINDS = (
    (RequestKind.STREAM, 'POST', CHAT),
    (RequestKind.UNSAFE, 'POST', PAY),
    (RequestKind.SAFE, 'GET', LOOK),
)
EXTRA_PART = 0.15


class SoakLoad:
    """Own the callers of every host."""

    def __init__(
        self,
        system: SoakSystem,
        record: RunRecord,
        random: Random,
    ) -> None:
        """Prepare the callers."""
        self.open_count = 0
        self._system = system
        self._record = record
        self._random = random
        self._stopped = False
        self._clock_s = system.loop.scheduler.now_s

    def start(self) -> None:
        """Let every caller begin."""
        for host in self._system.hosts:
            for _ in range(CALLERS_PER_HOST):
                self._pause(host, HttpClient(self._system.loop))

    def stop(self) -> None:
        """Send nothing more."""
        self._stopped = True

    def send(
        self,
        host: str,
        client: HttpClient,
        kind: RequestKind,
        method: str,
        path: str,
    ) -> Sent:
        """Send one request; its record is filled in as the answer comes."""
        number = len(self._record.sent) + 1
        streaming = kind is RequestKind.STREAM
        sent = Sent(
            f'request-{number}',
            kind,
            host,
            method,
            f'{path}{number}?q={number}',
            b'' if method == 'GET' else b'body %d' % number,
            self._clock_s(),
            STREAM_TIMEOUT_S if streaming else CALL_TIMEOUT_S,
        )
        self._record.sent.append(sent)
        self.open_count += 1

        def end() -> None:
            self.open_count -= 1
            self._pause(host, client)

        client.stream(
            HttpCall(
                self._system.find_address(host),
                method,
                sent.path,
                sent.body,
                self._headers(sent),
                timeout_s=PATIENCE_S,
                host=HOST,
            ),
            SentSink(sent, self._clock_s, end),
            fresh_connection=self._random.random() < NEW_CONNECTION_PART,
        )
        return sent

    def _headers(self, sent: Sent) -> tuple[Header, ...]:
        headers = [
            Header(protocol.REQUEST_ID, sent.request_id),
            Header(protocol.DEADLINE_MS, str(int(sent.timeout_s * 1000))),
            Header(protocol.API_KEY, KEY),
        ]
        if sent.kind is RequestKind.STREAM:
            headers.append(Header(protocol.MODEL, SMALL))
            headers.append(Header(protocol.TOKEN_COUNTS, '100,20'))
            headers.append(Header(protocol.PROMPT_PREFIX, 'a1:60,b2:40'))
        if self._random.random() < FORGED_PART:
            headers.append(self._random.choice(FORGED))
        return tuple(headers)

    def _pause(self, host: str, client: HttpClient) -> None:
        if self._stopped:
            client.close()
            return
        self._system.loop.scheduler.call_after(
            self._random.random() * LONGEST_PAUSE_S,
            lambda: self._send_any(host, client),
        )

    def _send_any(self, host: str, client: HttpClient) -> None:
        if self._stopped:
            client.close()
            return
        kind, method, path = self._random.choice(KINDS)
        changes = self._record.routes
        if changes and self._random.random() < EXTRA_PART:
            change: RouteChange = self._random.choice(changes[-3:])
            kind, method, path = (RequestKind.EXTRA, 'GET', change.prefix)
        self.send(host, client, kind, method, path)
