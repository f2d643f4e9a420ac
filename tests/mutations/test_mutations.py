"""Check that disabling any mechanism makes a test fail.

Add an entry with each new mechanism, and choose its fastest check.
"""

from collections.abc import Callable
from dataclasses import dataclass

import pytest

from bamboodeck.invariants import InvariantViolatedError
from tests.admission import (
    test_admission,
    test_limits,
    test_poison,
    test_trials,
)
from tests.billing import test_sender
from tests.billing import test_simulation as bills
from tests.configuration import test_mutations as configuration
from tests.http import test_server
from tests.leases import test_simulation as leases
from tests.mutations import switches
from tests.orders import test_simulation as orders
from tests.peers import test_link
from tests.rollout import test_decisions, test_suspicion
from tests.routing import test_router
from tests.sessions import test_tokens
from tests.streaming import test_splice

Patch = pytest.MonkeyPatch
Check = Callable[[], None]

VERSIONS = test_router.TestVersions()
ENGINES = test_router.TestEngines()
GUARD = test_poison.TestPoisonGuard()
TRIAL_LEASES = test_trials.TestTrialLeases()
SUSPECT_ISOLATION = test_trials.TestSuspectIsolation()
GATE = test_decisions.TestRolloutGate()
MONITOR = test_suspicion.TestVersionMonitor()
TOKENS = test_tokens.TestTokens()
SPLICER = test_splice.TestSplicer()
STREAM = test_splice.TestEngineStream()
ADMISSION = test_admission.TestAdmission()
RETRIES = test_limits.TestRetryBudget()
LINK = test_link.TestPeerLink()
SENDER = test_sender.TestSender()
SERVER = test_server.TestFailingHandler()

# Only these exceptions count as a failed check; any other one is an error.
FAILURES = (
    AssertionError,
    InvariantViolatedError,
    pytest.fail.Exception,
)


@dataclass(frozen=True)
class Mutation:
    """Pair a mechanism and its switch with the checks that must fail."""

    mechanism: str
    switch_off: Callable[[Patch], None]
    checks: tuple[Check, ...]


def check_lost() -> None:
    """Check that a lost engine gets no requests."""
    ENGINES.test_unusable('lost')


def check_leaving() -> None:
    """Check that a leaving engine gets no requests."""
    ENGINES.test_unusable('leaving')


MUTATIONS = (
    Mutation('fencing number', leases.skip_fencing_check, (leases.walk_all,)),
    Mutation('wait for old orders', leases.skip_wait, (leases.walk_all,)),
    Mutation('lease deadline', leases.skip_deadline, (leases.walk_all,)),
    Mutation('lease claim', leases.skip_compare, (leases.walk_all,)),
    Mutation('order intent', orders.skip_intent, (orders.run_all,)),
    Mutation('order fingerprint', orders.skip_fingerprint, (orders.run_all,)),
    Mutation('intent of another', orders.replace_intents, (orders.run_all,)),
    Mutation('order deadline', orders.ignore_deadline, (orders.run_all,)),
    Mutation('proof of not-run', orders.answer_not_run, (orders.run_all,)),
    Mutation('bill watermark', bills.skip_watermark, (bills.walk_all,)),
    Mutation('bill identity', bills.skip_identity, (bills.walk_all,)),
    Mutation('bill held first', bills.answer_at_once, (bills.walk_all,)),
    Mutation('bill copies', bills.leave_at_once, (bills.walk_all,)),
    Mutation(
        'room for bills',
        switches.ignore_full_peer,
        (SENDER.test_full_peer,),
    ),
    Mutation(
        'revision',
        configuration.take_any_revision,
        (configuration.run_machine,),
    ),
    Mutation(
        'expected revision',
        configuration.ignore_expected_revision,
        (configuration.run_machine,),
    ),
    Mutation(
        'change id',
        configuration.forget_change_ids,
        (configuration.run_machine,),
    ),
    Mutation(
        'withdrawn for good',
        configuration.revive_silently,
        (configuration.run_machine,),
    ),
    Mutation(
        'session signature',
        switches.skip_session_signature,
        (TOKENS.test_forged_claims, TOKENS.test_any_changed_bit),
    ),
    Mutation(
        'session owner',
        switches.skip_session_owner,
        (TOKENS.test_refusals,),
    ),
    Mutation(
        'session expiry',
        switches.skip_session_expiry,
        (TOKENS.test_refusals,),
    ),
    Mutation(
        'session version',
        switches.skip_session_version,
        (VERSIONS.test_session_stays, VERSIONS.test_version_rules),
    ),
    Mutation(
        'allowed versions',
        switches.allow_any_version,
        (VERSIONS.test_version_rules,),
    ),
    Mutation(
        'withdrawn versions',
        switches.use_withdrawn_versions,
        (VERSIONS.test_version_rules,),
    ),
    Mutation('quarantine', switches.skip_block, (VERSIONS.test_blocked,)),
    Mutation(
        'quarantine of a roll-out',
        switches.skip_gate_block,
        (GATE.test_blocked_version,),
    ),
    Mutation(
        'watch for bad versions',
        switches.skip_monitor,
        (MONITOR.test_one_bad_version,),
    ),
    Mutation(
        'stale configuration',
        switches.skip_staleness,
        (VERSIONS.test_version_rules,),
    ),
    Mutation(
        'stale share',
        switches.skip_gate_staleness,
        (GATE.test_closed_without_share_or_fresh,),
    ),
    Mutation(
        'exposure bound',
        switches.skip_exposure_bound,
        (GATE.test_weight_counts,),
    ),
    Mutation('leaving', switches.use_leaving_engines, (check_leaving,)),
    Mutation('lost engines', switches.use_lost_engines, (check_lost,)),
    Mutation(
        'poison',
        switches.skip_poison_check,
        (GUARD.test_crashes_on_two_hosts,),
    ),
    Mutation(
        'crash reports',
        switches.skip_crash_reports,
        (GUARD.test_against_naive_guard,),
    ),
    Mutation(
        'one suspect an engine',
        switches.skip_trials,
        (
            TRIAL_LEASES.test_against_naive_leases,
            SUSPECT_ISOLATION.test_only_poison_is_refused,
        ),
    ),
    Mutation(
        'arbiter restart',
        switches.skip_trial_wait,
        (TRIAL_LEASES.test_no_lease_after_restart,),
    ),
    Mutation(
        'resume offset',
        switches.skip_resume_offset,
        (
            SPLICER.test_resumed_stream_has_no_gap_and_no_duplicate,
            SPLICER.test_any_order_with_duplicate_and_foreign,
        ),
    ),
    Mutation(
        'chunk identity',
        switches.skip_chunk_identity,
        (SPLICER.test_any_order_with_duplicate_and_foreign,),
    ),
    Mutation(
        'last chunk',
        switches.skip_last_chunk,
        (STREAM.test_end_before_the_last_chunk_is_an_interruption,),
    ),
    Mutation(
        'death after the last chunk',
        switches.distrust_broken_streams,
        (STREAM.test_failure_after_the_last_chunk_is_complete,),
    ),
    Mutation('capacity', switches.skip_capacity, (ADMISSION.test_full,)),
    Mutation('retry budget', switches.skip_retry_budget, (RETRIES.test_ratio,)),
    Mutation(
        'peer signature',
        switches.skip_peer_signature,
        (LINK.test_unsigned_frame,),
    ),
    Mutation(
        'accept after the stop',
        switches.skip_accept_check,
        (SERVER.test_caller_comes_as_the_server_stops,),
    ),
)
PAIRS = tuple(
    pytest.param(
        mutation.switch_off,
        check,
        id=f'{mutation.mechanism}: {check.__name__}',
    )
    for mutation in MUTATIONS
    for check in mutation.checks
)


class TestMutations:
    """Check that each check fails without its mechanism."""

    @pytest.mark.parametrize(('switch_off', 'check'), PAIRS)
    def test_is_detected(
        self,
        switch_off: Callable[[Patch], None],
        check: Check,
        monkeypatch: Patch,
    ) -> None:
        """Expect a failure; unmodified code passes in a test of its own."""
        switch_off(monkeypatch)
        with pytest.raises(FAILURES):
            check()
