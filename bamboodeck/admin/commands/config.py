"""Check, apply and show the operators' configuration."""

import difflib
import re
from collections.abc import Iterable
from pathlib import Path

import click

from bamboodeck.admin.calls import Method
from bamboodeck.admin.confirmation import ChangeRequest, make_change
from bamboodeck.admin.messages import (
    ApplyDocument,
    CheckDocument,
    CheckResult,
    ConfigurationView,
    HistoryView,
    PastDocument,
)
from bamboodeck.admin.output import format_time, write_json, write_table
from bamboodeck.admin.session import Session, with_change, with_session
from bamboodeck.configuration.parsing import (
    ConfigurationFaultsError,
    parse_configuration,
)
from bamboodeck.errors import InputError
from bamboodeck.exit_status import ExitStatus
from bamboodeck.settings.process import load_settings_file

REVISION_LINE = '# revision '
_REVISION_PATTERN = re.compile(rf'\A{REVISION_LINE}(\d+)\s*$', re.MULTILINE)
_FILE = click.Path(path_type=Path)


class RevisionMissingError(InputError):
    """Report that the revision which a document replaces is not given."""


@click.group()
def config() -> None:
    """Check, apply and show the configuration."""


@config.command()
@click.argument('path', type=_FILE)
@with_session
def check(session: Session, path: Path) -> None:
    """Check a file; with a server, also against the server's configuration."""
    text = load_settings_file(path)
    faults = ()
    try:
        parse_configuration(text, str(path))
    except ConfigurationFaultsError as error:
        faults = error.faults
    if session.server and not faults:
        body = CheckDocument(text, str(path))
        answer: CheckResult = session.client.call(
            Method.POST,
            'configuration/check',
            CheckResult,
            body,
        )
        faults = answer.faults
    if session.as_json:
        write_json(session.stdout, CheckResult(faults))
    elif not faults:
        session.stdout.write(f'{path}: no fault\n')
    if faults and session.as_json:
        raise click.exceptions.Exit(int(ExitStatus.BAD_INPUT))
    if faults:
        raise ConfigurationFaultsError(faults)


@config.command()
@click.argument('path', type=_FILE)
@click.option(
    '--expected-revision',
    type=click.IntRange(0),
    help='Revision that the file replaces, 0 for the first one '
    f'[default: from a first line "{REVISION_LINE}N"].',
)
@click.option(
    '--revive',
    multiple=True,
    metavar='VERSION',
    help='Withdrawn version that the file may bring back or leave out.',
)
@with_change
def apply(  # noqa: WPS125
    session: Session,
    path: Path,
    expected_revision: int | None,
    revive: tuple[str, ...],
    wait_s: float,
    change_id: str,
) -> None:
    """Apply a file in place of the revision that it was made from."""
    text = load_settings_file(path)
    parse_configuration(text, str(path))
    if expected_revision is None:
        expected_revision = _parse_revision_line(text, path)
    body = ApplyDocument(
        text,
        change_id,
        expected_revision,
        path.name,
        revive,
    )
    make_change(
        session,
        ChangeRequest(Method.POST, 'configuration', body, change_id, wait_s),
    )


@config.command()
@click.option('--revision', type=click.IntRange(1), help='A past revision.')
@with_session
def show(session: Session, revision: int | None) -> None:
    """Write the document and its revision, ready to edit and apply."""
    view = _fetch_document(session, revision)
    if session.as_json:
        write_json(session.stdout, view)
        return
    text = _strip_revision_line(view.text)
    session.stdout.write(f'{REVISION_LINE}{view.change.revision}\n{text}')


@config.command()
@click.argument('path', type=_FILE)
@click.option('--revision', type=click.IntRange(1), help='A past revision.')
@with_session
def diff(session: Session, path: Path, revision: int | None) -> None:
    """Compare the document in force, or a past one, with a file."""
    view = _fetch_document(session, revision)
    lines = difflib.unified_diff(
        _strip_revision_line(view.text).splitlines(),
        _strip_revision_line(load_settings_file(path)).splitlines(),
        f'revision {view.change.revision}',
        str(path),
        lineterm='',
    )
    _write_lines(session, lines)


@config.command()
@with_session
def history(session: Session) -> None:
    """List the changes, newest first."""
    view: HistoryView = session.client.call(
        Method.GET,
        'configuration/history',
        HistoryView,
    )
    if session.as_json:
        write_json(session.stdout, view)
        return
    rows = [
        (
            str(change.revision),
            format_time(change.changed_s),
            change.changed_by,
            change.summary,
            change.change_id,
        )
        for change in view.changes
    ]
    headings = ('revision', 'time', 'operator', 'change', 'change id')
    write_table(session.stdout, headings, rows)


def _fetch_document(
    session: Session,
    revision: int | None,
) -> ConfigurationView | PastDocument:
    if revision is None:
        return session.client.call(
            Method.GET,
            'configuration',
            ConfigurationView,
        )
    return session.client.call(
        Method.GET,
        f'configuration/history/{revision}',
        PastDocument,
    )


def _parse_revision_line(text: str, path: Path) -> int:
    match = _REVISION_PATTERN.match(text)
    if match is None:
        raise RevisionMissingError(
            f'{path} has no first line "{REVISION_LINE}N"; '
            'give --expected-revision',
        )
    return int(match.group(1))


def _strip_revision_line(text: str) -> str:
    return _REVISION_PATTERN.sub('', text).lstrip('\n')


def _write_lines(session: Session, lines: Iterable[str]) -> None:
    if session.as_json:
        write_json(session.stdout, tuple(lines))
        return
    for line in lines:
        session.stdout.write(f'{line}\n')
