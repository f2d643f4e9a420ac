"""Determine the zones in which a revision is in force."""

from collections.abc import Iterable

from bamboodeck.admin.messages import NodeStatus, ZoneConfirmation

MAX_REPORT_AGE_S = 10.0


def confirm_zones(
    rows: Iterable[NodeStatus],
    revision: int,
) -> tuple[ZoneConfirmation, ...]:
    """Confirm each zone whose nodes all recently reported the revision.

    A report of a later revision counts; one older than `MAX_REPORT_AGE_S`
    does not.
    """
    zones: dict[str, list[NodeStatus]] = {}
    for row in rows:
        zones.setdefault(row.zone, []).append(row)
    return tuple(
        _confirm_zone(zone, zones[zone], revision) for zone in sorted(zones)
    )


def _confirm_zone(
    zone: str,
    rows: list[NodeStatus],
    revision: int,
) -> ZoneConfirmation:
    missing = tuple(
        row.node for row in rows if not _has_confirmed(row, revision)
    )
    return ZoneConfirmation(
        zone,
        confirmed=not missing,
        confirmed_nodes=len(rows) - len(missing),
        known_nodes=len(rows),
        missing=missing,
    )


def _has_confirmed(row: NodeStatus, revision: int) -> bool:
    # An old report may come from a process that has since been replaced.
    if row.report_age_s is None or row.report_age_s > MAX_REPORT_AGE_S:
        return False
    return row.revision >= revision
