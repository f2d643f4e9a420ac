"""Attribute engines that break off to the prompt parts that they ran."""

from collections.abc import Callable

from bamboodeck.gateway.attempt import Attempt
from bamboodeck.gateway.context import GatewayContext
from bamboodeck.gateway.events import PartBlamed, PartsSuspected
from bamboodeck.gateway.exchange import STREAMING_EVENTS, Exchange
from bamboodeck.gateway.suspect_parts import EngineCrash, list_shared_parts


class PartTracker:
    """Record outcomes by prompt part, and find requests to refuse."""

    def __init__(
        self,
        context: GatewayContext,
        share_crash: Callable[[EngineCrash], None],
    ) -> None:
        """Pass what this host sees to `share_crash`."""
        self._context = context
        self._share_crash = share_crash
        self._logged: frozenset[str] = frozenset()

    def find_blamed(self, exchange: Exchange) -> str | None:
        """Return the part for which to refuse a request, if any."""
        suspects = self._context.suspect_parts
        now_s = self._context.now_s()
        parts = list_shared_parts(exchange.request.generation)
        blamed = suspects.find_blamed(parts, now_s)
        if blamed is not None:
            self._log_blamed(now_s)
        return blamed

    def record_answered(self, exchange: Exchange) -> None:
        """Record that an engine answers a request."""
        parts = list_shared_parts(exchange.request.generation)
        self._context.suspect_parts.record_harmless(
            (part.part_id for part in parts),
            self._context.now_s(),
        )

    def record_broken(self, exchange: Exchange, attempt: Attempt) -> None:
        """Suspect the parts of a request whose engine broke off."""
        if attempt.events >= STREAMING_EVENTS:
            return
        now_s = self._context.now_s()
        incarnation = attempt.engine.incarnation
        suspects = self._context.suspect_parts.record_crash(
            EngineCrash(
                incarnation,
                now_s,
                list_shared_parts(exchange.request.generation),
            ),
            now_s,
        )
        if not suspects:
            return
        self._context.log.emit(
            PartsSuspected(
                exchange.request.request_id,
                attempt.engine.entry.engine_id,
                ','.join(part.part_id for part in suspects),
            ),
        )
        self._share_crash(EngineCrash(incarnation, now_s, suspects))

    def _log_blamed(self, now_s: float) -> None:
        suspects = self._context.suspect_parts
        blamed = suspects.list_blamed(now_s)
        for part_id in blamed - self._logged:
            crashes = suspects.list_crashes((part_id,))
            self._context.metrics.count('part_blamed')
            self._context.log.warn(
                PartBlamed(
                    part_id,
                    ','.join(crash.incarnation for crash in crashes),
                ),
            )
        self._logged = blamed
