"""Disable single mechanisms of the real modules."""

import dataclasses

import msgspec
import pytest
from circuits.net.sockets import TCPServer

from bamboodeck.admission.admission import Admission
from bamboodeck.admission.poison import PoisonGuard
from bamboodeck.admission.retries import RetryBudget
from bamboodeck.admission.trials import TrialLeases
from bamboodeck.billing.sender import BillSender
from bamboodeck.configuration.model import VersionState
from bamboodeck.http.protocol import CallbackServer
from bamboodeck.peers import link
from bamboodeck.rollout.gate import RolloutGate
from bamboodeck.rollout.version_monitor import VersionMonitor
from bamboodeck.routing.eligibility import VersionCatalogue
from bamboodeck.routing.router import Router
from bamboodeck.routing.tracked_engine import TrackedEngine
from bamboodeck.sessions import tokens
from bamboodeck.streaming.engine_stream import EngineStream
from bamboodeck.streaming.splice import Splicer

Patch = pytest.MonkeyPatch


def skip_session_signature(patch: Patch) -> None:
    """Accept the claims of any token."""
    patch.setattr(tokens, '_verify', lambda *_: None)


def skip_session_owner(patch: Patch) -> None:
    """Accept a token from any customer."""
    original = tokens.read_token

    def read(keys, text: str, customer: str, now_s: float):
        claims = tokens._decode_claims(tokens._decode(text).claims)
        return original(keys, text, claims.customer, now_s)

    patch.setattr(tokens, 'read_token', read)


def skip_session_expiry(patch: Patch) -> None:
    """Accept expired tokens."""
    original = tokens.read_token

    def read(keys, text: str, customer: str, now_s: float):
        return original(keys, text, customer, 0)

    patch.setattr(tokens, 'read_token', read)


def skip_session_version(patch: Patch) -> None:
    """Route a session like a request without a session."""
    _change_request(
        patch,
        lambda request: dataclasses.replace(request, session_version=None),
    )


def allow_any_version(patch: Patch) -> None:
    """Allow every customer all versions."""

    def change(request):
        customer = dataclasses.replace(
            request.customer,
            allowed_versions=('small@1', 'large@1'),
        )
        return dataclasses.replace(request, customer=customer)

    _change_request(patch, change)


def use_withdrawn_versions(patch: Patch) -> None:
    """Route new requests to withdrawn versions."""
    original = VersionCatalogue.__init__

    def create(
        catalogue: VersionCatalogue, configuration, *parts, **options
    ) -> None:
        models = tuple(
            dataclasses.replace(model, state=VersionState.STEADY)
            if model.state is VersionState.WITHDRAWN
            else model
            for model in configuration.models
        )
        changed = dataclasses.replace(configuration, models=models)
        original(catalogue, changed, *parts, **options)

    patch.setattr(VersionCatalogue, '__init__', create)


def skip_block(patch: Patch) -> None:
    """Keep using a version that the node has blocked."""
    patch.setattr(Router, 'block_version', lambda *_: None)


def skip_gate_block(patch: Patch) -> None:
    """Admit requests to a version in roll-out that the node has blocked."""
    patch.setattr(RolloutGate, 'block', lambda *_: None)


def skip_monitor(patch: Patch) -> None:
    """Raise no alarm for any version."""
    patch.setattr(VersionMonitor, 'observe', lambda *_: None)


def skip_staleness(patch: Patch) -> None:
    """Use versions in roll-out with a stale configuration."""
    patch.setattr(Router, 'set_fresh', lambda *_: None)


def skip_gate_staleness(patch: Patch) -> None:
    """Admit requests to a roll-out with a stale configuration."""
    original = RolloutGate.admit

    def admit(gate: RolloutGate, version: str, weight: float, now_s: float):
        gate.mark_fresh(now_s)
        return original(gate, version, weight, now_s)

    patch.setattr(RolloutGate, 'admit', admit)


def skip_exposure_bound(patch: Patch) -> None:
    """Admit more weight than the share."""
    patch.setattr(RolloutGate, '_fits', lambda *_: True)


def use_leaving_engines(patch: Patch) -> None:
    """Route new requests to leaving engines."""
    patch.setattr(
        TrackedEngine,
        'usable',
        lambda slot, now_s: now_s >= slot.lost_until_s,
    )


def use_lost_engines(patch: Patch) -> None:
    """Route new requests to lost engines."""
    patch.setattr(TrackedEngine, 'usable', lambda slot, now_s: not slot.leaving)


def skip_poison_check(patch: Patch) -> None:
    """Retry a request regardless of the engines that it crashed."""
    patch.setattr(PoisonGuard, 'check', lambda *_: None)


def skip_crash_reports(patch: Patch) -> None:
    """Ignore crash reports of other nodes."""
    patch.setattr(PoisonGuard, 'merge', lambda *_: None)


def skip_trials(patch: Patch) -> None:
    """Run several suspected requests on an engine."""
    patch.setattr(TrialLeases, 'acquire', lambda *_: True)


def skip_trial_wait(patch: Patch) -> None:
    """Grant leases before running trials have been reported."""
    original = TrialLeases.__init__

    def create(leases: TrialLeases, opened_s: float) -> None:
        original(leases, opened_s)
        leases._grants_from_s = opened_s

    patch.setattr(TrialLeases, '__init__', create)


def skip_resume_offset(patch: Patch) -> None:
    """Forward every chunk, also below the next offset."""
    original = Splicer.accept

    def accept(splicer: Splicer, chunk) -> str:
        if chunk.offset < splicer.next_offset and not splicer.complete:
            return splicer._pass_on(chunk)
        return original(splicer, chunk)

    patch.setattr(Splicer, 'accept', accept)


def skip_chunk_identity(patch: Patch) -> None:
    """Forward the chunks of other requests."""
    original = Splicer.accept

    def accept(splicer: Splicer, chunk) -> str:
        own = msgspec.structs.replace(chunk, id=splicer._request_id)
        return original(splicer, own)

    patch.setattr(Splicer, 'accept', accept)


def skip_last_chunk(patch: Patch) -> None:
    """Treat the end of a stream as the end of its answer."""

    def end(stream: EngineStream) -> None:
        stream._listener.on_complete()

    patch.setattr(EngineStream, 'on_end', end)


def distrust_broken_streams(patch: Patch) -> None:
    """Repeat a request whose connection broke after the last chunk."""

    def fail(stream: EngineStream, failure) -> None:
        stream._listener.on_interrupted(failure.reason, maybe_started=True)

    patch.setattr(EngineStream, 'on_failed', fail)


def skip_capacity(patch: Patch) -> None:
    """Admit any number of concurrent requests."""
    patch.setattr(Admission, 'set_capacity', lambda *_: None)
    original = Admission.__init__

    def create(
        admission: Admission, capacity: float, *parts, **options
    ) -> None:
        original(admission, 1e9, *parts, **options)

    patch.setattr(Admission, '__init__', create)


def skip_retry_budget(patch: Patch) -> None:
    """Allow every retry."""
    patch.setattr(RetryBudget, 'try_retry', lambda *_, idempotent: True)


def ignore_full_peer(patch: Patch) -> None:
    """Keep answering although no other host has space for bills."""
    patch.setattr(BillSender, '_peer_full', False)


def skip_peer_signature(patch: Patch) -> None:
    """Accept frames with any signature on the peer port."""
    patch.setattr(link.hmac, 'compare_digest', lambda *_: True)


def skip_accept_check(patch: Patch) -> None:
    """Accept from a listening socket that may be closed."""
    patch.setattr(CallbackServer, '_accept', TCPServer._accept)


def _change_request(patch: Patch, change) -> None:
    original = VersionCatalogue.eligible

    def eligible(catalogue: VersionCatalogue, request):
        return original(catalogue, change(request))

    patch.setattr(VersionCatalogue, 'eligible', eligible)
