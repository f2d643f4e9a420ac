"""Export the state of an entry process as metrics."""

import time

from bamboodeck.metrics import read_resident_bytes


def refresh_gauges(app) -> None:
    """Update the gauges and counters of the process."""
    now_s = app.loop.scheduler.now_s()
    orders = app.orders
    for name, number in (
        ('revision', app.replica.revision),
        ('configuration_age_s', app.replica.age_s(now_s)),
        ('active_requests', app.server.active_count),
        ('connections', len(app.server.http.connections)),
        ('rating_digests_merged', app.control_plane.ratings.merged_count),
        ('versions_blocked', app.control_plane.rollouts.blocked_count),
        ('rollout_risked_weight', app.control_plane.rollouts.risked_weight),
        ('bills_pending', app.bills.pending_count),
        ('bills_unprotected', app.bills.unprotected),
        ('orders_pending', orders.pending_count if orders else 0),
        ('peer_sent_bytes', app.link.counts.sent_bytes),
        ('peer_received_bytes', app.link.counts.received_bytes),
        ('peer_sent_frames', app.link.counts.sent_frames),
        ('peer_received_frames', app.link.counts.received_frames),
        ('peer_dropped_frames', app.link.counts.dropped_frames),
        ('process_id', app.environment.process_id),
        ('process_cpu_s', time.process_time()),
        ('resident_bytes', read_resident_bytes()),
    ):
        app.metrics.set_state(name, number)
    app.metrics.set_counters('bills', app.bills.counters)
    app.metrics.set_counters('poison', app.poison.counters)
    if orders is not None:
        app.metrics.set_counters('orders', orders.counters)
