"""Poll the engines' load reports."""

import functools

import msgspec

from bamboodeck.configuration.model import Configuration, Engine
from bamboodeck.entry.leaving import LeavingServers, LeavingSource
from bamboodeck.http.client import HttpClient
from bamboodeck.http.messages import (
    HttpCall,
    HttpOutcome,
    HttpReply,
    parse_address,
)
from bamboodeck.loop.scheduler import Scheduler
from bamboodeck.routing.messages import EngineLoad
from bamboodeck.routing.router import Router

POLL_PERIOD_S = 1.0
# Requests are seldom routed to other zones, so their load may be older.
OTHER_ZONE_PERIODS = 5
POLL_TIMEOUT_S = 2.0
MAX_POLLED_ENGINES = 24
_OK = 200


class LoadBody(msgspec.Struct, frozen=True):
    """Load report of an engine."""

    running: int
    queued: int
    leaving: bool = False
    versions: frozenset[str] | None = None


_decoder = msgspec.json.Decoder(LoadBody)


class LoadPoller:
    """Poll up to `MAX_POLLED_ENGINES` engines, the zone's own first."""

    def __init__(
        self,
        scheduler: Scheduler,
        client: HttpClient,
        router: Router,
        leaving: LeavingServers,
        zone: str,
        region: str,
    ) -> None:
        """Poll periodically; there is no engine before a configuration."""
        self._scheduler = scheduler
        self._client = client
        self._router = router
        self._leaving = leaving
        self._zone = zone
        self._region = region
        self._engines: tuple[Engine, ...] = ()
        self._rounds = 0
        scheduler.call_every(POLL_PERIOD_S, self.poll)

    def apply_configuration(self, configuration: Configuration) -> None:
        """Choose the engines to poll."""
        ranked = sorted(
            configuration.engines,
            key=lambda engine: (
                engine.zone != self._zone,
                engine.region != self._region,
            ),
        )
        self._engines = tuple(ranked[:MAX_POLLED_ENGINES])

    def poll(self) -> None:
        """Poll the zone's engines, and the others every few periods."""
        others_due = self._rounds % OTHER_ZONE_PERIODS == 0
        self._rounds += 1
        for engine in self._engines:
            if engine.zone != self._zone and not others_due:
                continue
            self._client.send(
                HttpCall(
                    parse_address(engine.address),
                    'GET',
                    '/load',
                    timeout_s=POLL_TIMEOUT_S,
                ),
                functools.partial(self._on_outcome, engine.name),
            )

    def _on_outcome(self, engine: str, outcome: HttpOutcome) -> None:
        now_s = self._scheduler.now_s()
        if not isinstance(outcome, HttpReply) or outcome.status != _OK:
            self._router.on_engine_lost(engine, now_s)
            return
        try:
            body = _decoder.decode(outcome.body)
        except msgspec.DecodeError:
            self._router.on_engine_lost(engine, now_s)
            return
        self._leaving.report(
            LeavingSource.LOAD_REPORT,
            engine,
            leaving=body.leaving,
        )
        if body.versions is not None:
            self._router.on_versions_held(engine, body.versions)
        self._router.on_load_report(
            EngineLoad(engine, body.running, body.queued, now_s),
        )
