"""Send a change and wait until all zones confirm it."""

from dataclasses import dataclass, replace
from typing import Any

from bamboodeck.admin.calls import Method
from bamboodeck.admin.client import NoAnswerError, RequestFailedError
from bamboodeck.admin.messages import (
    ChangeResult,
    StatusView,
    ZoneConfirmation,
)
from bamboodeck.admin.output import write_json, write_table
from bamboodeck.admin.session import Session
from bamboodeck.errors import BamboodeckError
from bamboodeck.exit_status import ExitStatus

POLL_PERIOD_S = 0.5


class NotConfirmedError(BamboodeckError):
    """Report that a change is not confirmed in every zone."""

    exit_status = ExitStatus.NOT_CONFIRMED


@dataclass(frozen=True, slots=True)
class ChangeReport:
    """Report the zones in which a change is in force."""

    revision: int
    change_id: str
    confirmed: bool
    zones: tuple[ZoneConfirmation, ...]


@dataclass(frozen=True, slots=True)
class ChangeRequest:
    """Describe the API request of a change and how long to wait for it."""

    method: Method
    path: str
    body: Any
    change_id: str
    wait_s: float


def make_change(session: Session, request: ChangeRequest) -> None:
    """Send a change and report its zones; raise `NotConfirmedError`."""
    try:
        result: ChangeResult = session.client.call(
            request.method,
            request.path,
            ChangeResult,
            request.body,
        )
    except NoAnswerError as error:
        raise NotConfirmedError(
            f'{error}; whether the change was made is unknown, retry it with '
            f'--change-id {request.change_id}',
        ) from None
    report = _wait_for_zones(session, _build_report(result), request.wait_s)
    _write_report(session, report)
    if not report.confirmed:
        zones = ', '.join(
            zone.zone for zone in report.zones if not zone.confirmed
        )
        raise NotConfirmedError(
            f'revision {report.revision} is not confirmed in: '
            f'{zones or "any zone"}',
        )


def write_zones(
    session: Session,
    zones: tuple[ZoneConfirmation, ...],
) -> None:
    """Write a table of the zones and whether they confirmed a revision."""
    rows = [
        (
            zone.zone,
            'in force' if zone.confirmed else 'NOT CONFIRMED',
            f'{zone.confirmed_nodes}/{zone.known_nodes}',
            ', '.join(zone.missing),
        )
        for zone in zones
    ]
    write_table(session.stdout, ('zone', 'state', 'nodes', 'missing'), rows)


def _wait_for_zones(
    session: Session,
    report: ChangeReport,
    wait_s: float,
) -> ChangeReport:
    monotonic_s = session.dependencies.environment.monotonic_s
    deadline_s = monotonic_s() + wait_s
    while not report.confirmed and monotonic_s() < deadline_s:
        session.dependencies.sleep(POLL_PERIOD_S)
        try:
            status: StatusView = session.client.call(
                Method.GET,
                f'status?revision={report.revision}',
                StatusView,
            )
        except NoAnswerError as no_answer:
            session.stderr.write(f'cannot read the status: {no_answer}\n')
            continue
        except RequestFailedError as failure:
            # For example, the first configuration ends the bootstrap key.
            session.stderr.write(f'status request refused: {failure}\n')
            break
        report = replace(
            report,
            zones=status.zones,
            confirmed=_all_confirmed(status.zones),
        )
    return report


def _build_report(result: ChangeResult) -> ChangeReport:
    return ChangeReport(
        result.revision,
        result.change_id,
        _all_confirmed(result.zones),
        result.zones,
    )


def _all_confirmed(zones: tuple[ZoneConfirmation, ...]) -> bool:
    return bool(zones) and all(zone.confirmed for zone in zones)


def _write_report(session: Session, report: ChangeReport) -> None:
    if session.as_json:
        write_json(session.stdout, report)
        return
    session.stdout.write(
        f'revision {report.revision} (change {report.change_id})\n',
    )
    write_zones(session, report.zones)
