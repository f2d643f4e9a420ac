"""Test that spend and ratings reach the nodes that route by them."""

import msgspec
import pytest

from tests.system.harness import System

DESK_KEY = 'medena-key-2'


@pytest.fixture(scope='module')
def system() -> System:
    """Start two zones with two hosts each."""
    built = System(zones=2)
    built.configure()
    return built


class TestCredits:
    """Meter spent credits and price the remaining ones."""

    def read_rows(self, system: System) -> dict[str, dict]:
        """Read the rows shown by `bamboodeck credits`."""
        answer = system.call_admin('GET', '/admin/v1/credits')
        rows = msgspec.json.decode(answer.body)['providers']
        return {row['provider']: row for row in rows}

    def test_spend_is_shown_and_prices_decide(self, system) -> None:
        """Show the metered costs and apply the prices in every router."""
        for number in range(40):
            host = system.host_addresses[number % 4]
            assert system.ask(host, DESK_KEY).status == 200
        system.until(
            lambda: (
                self.read_rows(system)
                .get('harbour', {})
                .get(
                    'spent_credits',
                    0,
                )
                > 0
            ),
        )
        row = self.read_rows(system)['harbour']
        assert row['credits'] == 90000
        remaining = row['credits'] - row['spent_credits']
        assert row['remaining_credits'] == pytest.approx(remaining)
        apps = system.entries.values()
        system.until(
            lambda: all(
                app.control_plane.credits.latest.providers for app in apps
            )
        )
        for app in apps:
            prices = app.router._decider.inputs.prices
            assert set(prices) == {'harbour', 'northlight'}

    def test_another_holder_goes_on_from_the_record(self, system) -> None:
        """Keep the ledger when the holder is killed."""
        # On a busy machine the lease may just have changed hands; the new
        # holder must have read the record before it is killed.
        system.until(
            lambda: any(
                app.fleet_lease.fencing_number() and app.credits._stored.bases
                for app in system.controllers.values()
            ),
        )
        for host, app in list(system.controllers.items()):
            if app.fleet_lease.fencing_number():
                before = app.credits._stored
                system.kill(f'{host}.controller')
        assert before.bases
        system.until(
            lambda: any(
                app.credits._stored.bases
                for app in system.controllers.values()
                if app.fleet_lease.fencing_number()
            ),
        )
        after = next(
            app.credits._stored
            for app in system.controllers.values()
            if app.fleet_lease.fencing_number()
        )
        assert after.bases == before.bases
        spent = [meter.metered_credits for meter in before.state.meters]
        kept = [meter.metered_credits for meter in after.state.meters]
        assert all(new >= old for new, old in zip(kept, spent, strict=True))


class TestRatingExchange:
    """Learn from the ratings of the zone's other nodes."""

    def test_ratings_reach_the_zone(self, system: System) -> None:
        """Merge the ratings of a node on the other node of its zone."""
        answer = system.ask(system.host_addresses[0], DESK_KEY)
        assert answer.status == 200

        def count(host: str) -> float:
            quality = system.entries[host].router.quality
            return quality.estimate('small@1', 'medena-desk', 'chat').count

        system.until(lambda: count('host0') > 0)
        system.until(lambda: count('host1') >= count('host0'))
        assert system.entries['host1'].control_plane.ratings.merged_count
