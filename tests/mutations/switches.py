"""Switch off single mechanisms of the real modules."""

import dataclasses

import msgspec
import pytest
from circuits.net.sockets import TCPServer

from bamboodeck.admission.admission import Admission
from bamboodeck.admission.poison import PoisonGuard
from bamboodeck.admission.retries import RetryBudget
from bamboodeck.admission.trials import TrialBook
from bamboodeck.billing.sender import BillSender
from bamboodeck.configuration.model import VersionState
from bamboodeck.http.protocol import CallbackServer
from bamboodeck.peers import link
from bamboodeck.rollout.gate import RolloutGate
from bamboodeck.rollout.watch import VersionWatch
from bamboodeck.routing.eligibility import Catalogue
from bamboodeck.routing.router import Router
from bamboodeck.routing.slots import EngineSlot
from bamboodeck.sessions import tokens
from bamboodeck.streaming.engine_stream import EngineStream
from bamboodeck.streaming.splice import Splicer

Patch = pytest.MonkeyPatch


def skip_session_signature(patch: Patch) -> None:
    """Believe the claims of any token."""
    patch.setattr(tokens, '_verify', lambda *_: None)


def skip_session_owner(patch: Patch) -> None:
    """Honour a token whoever brings it."""
    plain = tokens.read_token

    def read(keys, text: str, customer: str, now_s: float):
        claims = tokens._decode_claims(tokens._decode(text).claims)
        return plain(keys, text, claims.customer, now_s)

    patch.setattr(tokens, 'read_token', read)


def skip_session_expiry(patch: Patch) -> None:
    """Honour a token for ever."""
    plain = tokens.read_token

    def read(keys, text: str, customer: str, now_s: float):
        return plain(keys, text, customer, 0)

    patch.setattr(tokens, 'read_token', read)


def skip_session_version(patch: Patch) -> None:
    """Route a session like any other request."""
    _ask_otherwise(
        patch,
        lambda asked: dataclasses.replace(asked, session_version=None),
    )


def allow_any_version(patch: Patch) -> None:
    """Let customers use every version."""

    def ask(asked):
        customer = dataclasses.replace(
            asked.customer,
            allowed_versions=('small@1', 'large@1'),
        )
        return dataclasses.replace(asked, customer=customer)

    _ask_otherwise(patch, ask)


def use_withdrawn_versions(patch: Patch) -> None:
    """Give withdrawn versions new work."""
    plain = Catalogue.__init__

    def create(catalogue: Catalogue, configuration, *parts, **options) -> None:
        models = tuple(
            dataclasses.replace(model, state=VersionState.STEADY)
            if model.state is VersionState.WITHDRAWN
            else model
            for model in configuration.models
        )
        changed = dataclasses.replace(configuration, models=models)
        plain(catalogue, changed, *parts, **options)

    patch.setattr(Catalogue, '__init__', create)


def skip_block(patch: Patch) -> None:
    """Go on with a version that the node has found bad."""
    patch.setattr(Router, 'block_version', lambda *_: None)


def skip_gate_block(patch: Patch) -> None:
    """Expose more requests to a roll-out that the node has found bad."""
    patch.setattr(RolloutGate, 'block', lambda *_: None)


def skip_watch(patch: Patch) -> None:
    """Find no version bad."""
    patch.setattr(VersionWatch, 'observe', lambda *_: None)


def skip_staleness(patch: Patch) -> None:
    """Use versions under roll-out however old the configuration is."""
    patch.setattr(Router, 'set_fresh', lambda *_: None)


def skip_gate_staleness(patch: Patch) -> None:
    """Expose requests however old the configuration is."""
    plain = RolloutGate.admit

    def admit(gate: RolloutGate, version: str, weight: float, now_s: float):
        gate.hear(now_s)
        return plain(gate, version, weight, now_s)

    patch.setattr(RolloutGate, 'admit', admit)


def skip_exposure_bound(patch: Patch) -> None:
    """Expose more weight than the share."""
    patch.setattr(RolloutGate, '_fits', lambda *_: True)


def use_leaving_engines(patch: Patch) -> None:
    """Give leaving engines new work."""
    patch.setattr(
        EngineSlot,
        'usable',
        lambda slot, now_s: now_s >= slot.lost_until_s,
    )


def use_lost_engines(patch: Patch) -> None:
    """Give lost engines new work."""
    patch.setattr(EngineSlot, 'usable', lambda slot, now_s: not slot.leaving)


def skip_poison_check(patch: Patch) -> None:
    """Try a request again, however many engines it crashed."""
    patch.setattr(PoisonGuard, 'check', lambda *_: None)


def skip_crash_reports(patch: Patch) -> None:
    """Hear nothing of crashes that other nodes saw."""
    patch.setattr(PoisonGuard, 'merge', lambda *_: None)


def skip_trials(patch: Patch) -> None:
    """Let suspects share an engine."""
    patch.setattr(TrialBook, 'ask', lambda *_: True)


def skip_trial_wait(patch: Patch) -> None:
    """Grant engines before what runs was reported."""
    plain = TrialBook.__init__

    def create(book: TrialBook, opened_s: float) -> None:
        plain(book, opened_s)
        book._grants_from_s = opened_s

    patch.setattr(TrialBook, '__init__', create)


def skip_resume_offset(patch: Patch) -> None:
    """Pass on every chunk that comes, also below the next offset."""
    plain = Splicer.accept

    def accept(splicer: Splicer, chunk) -> str:
        if chunk.offset < splicer.next_offset and not splicer.complete:
            return splicer._pass_on(chunk)
        return plain(splicer, chunk)

    patch.setattr(Splicer, 'accept', accept)


def skip_chunk_identity(patch: Patch) -> None:
    """Pass on the chunks of other requests."""
    plain = Splicer.accept

    def accept(splicer: Splicer, chunk) -> str:
        own = msgspec.structs.replace(chunk, id=splicer._request_id)
        return plain(splicer, own)

    patch.setattr(Splicer, 'accept', accept)


def skip_last_chunk(patch: Patch) -> None:
    """Take the end of a stream for the end of its answer."""

    def end(stream: EngineStream) -> None:
        stream._listener.on_complete()

    patch.setattr(EngineStream, 'on_end', end)


def distrust_broken_streams(patch: Patch) -> None:
    """Run an answer again whose connection broke after its last chunk."""

    def fail(stream: EngineStream, failure) -> None:
        stream._listener.on_interrupted(failure.reason, maybe_started=True)

    patch.setattr(EngineStream, 'on_failed', fail)


def skip_capacity(patch: Patch) -> None:
    """Admit requests however many run."""
    patch.setattr(Admission, 'set_capacity', lambda *_: None)
    plain = Admission.__init__

    def create(admission: Admission, places: float, *parts, **options) -> None:
        plain(admission, 1e9, *parts, **options)

    patch.setattr(Admission, '__init__', create)


def skip_retry_budget(patch: Patch) -> None:
    """Retry as often as is asked."""
    patch.setattr(RetryBudget, 'try_retry', lambda *_, idempotent: True)


def ignore_full_peer(patch: Patch) -> None:
    """Answer on though no other host has room for bills."""
    patch.setattr(BillSender, '_full', False)


def skip_peer_signature(patch: Patch) -> None:
    """Believe whoever speaks to the peer port."""
    patch.setattr(link.hmac, 'compare_digest', lambda *_: True)


def skip_accept_check(patch: Patch) -> None:
    """Accept from a listening socket that may be closed."""
    patch.setattr(CallbackServer, '_accept', TCPServer._accept)


def _ask_otherwise(patch: Patch, change) -> None:
    plain = Catalogue.eligible

    def eligible(catalogue: Catalogue, asked):
        return plain(catalogue, change(asked))

    patch.setattr(Catalogue, 'eligible', eligible)
