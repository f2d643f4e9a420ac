"""Test parsing the settings of the processes."""

import logging

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bamboodeck.errors import InputError
from bamboodeck.exit_status import ExitStatus
from bamboodeck.http.messages import Address
from bamboodeck.settings.faults import SettingsError
from bamboodeck.settings.process import (
    PeerAddress,
    PeerRole,
    load_settings_file,
    parse_controller_settings,
    parse_entry_settings,
)

ENTRY = """
[process]
node = entry-1
region = flanders
zone = flanders-a
peer_secret_hex = 00112233445566778899aabbccddeeff

[listen]
callers = 127.0.0.1:7101
admin = 127.0.0.1:7102
peers = 127.0.0.1:7103

[peers]
entry-1 = flanders-a 127.0.0.1:7103 entry
controller-1 = flanders-a 127.0.0.1:7203 controller

[platform]
key_value = 127.0.0.1:7301, 127.0.0.1:7302
rating = 127.0.0.1:7311

[logs]
json = yes
level = warning

[limits]
drain_timeout_s = 5
"""


def faults_of(text: str) -> list[str]:
    """Return the faults of a text, one per line of the error."""
    with pytest.raises(SettingsError) as caught:
        parse_entry_settings(text, 'entry.ini')
    return str(caught.value).splitlines()


class TestEntrySettings:
    """Test the settings of an entry process."""

    def test_whole_file(self) -> None:
        """Parse every section; leave the node itself out of its peers."""
        parsed = parse_entry_settings(ENTRY, 'entry.ini')
        assert parsed.key_value[1] == Address('127.0.0.1', 7302)
        assert parsed.log_json
        assert parsed.log_level == logging.WARNING
        assert parsed.host_list is None
        assert parsed.drain_timeout_s == 5.0
        assert parsed.zone_peers == (
            PeerAddress(
                'controller-1',
                'flanders-a',
                Address('127.0.0.1', 7203),
                PeerRole.CONTROLLER,
            ),
        )

    def test_all_faults_at_once(self) -> None:
        """Report each fault with file, section, key and allowed values."""
        text = (
            ENTRY.replace('node = entry-1\n', '')
            .replace('callers = 127.0.0.1:7101', 'callers = localhost:1')
            .replace('drain_timeout_s = 5', 'drain_timeout_s = nan\nspeed = 1')
            .replace('yes', 'on')
            .replace('controller\n', 'driver\n')
        )
        assert set(faults_of(f'{text}[extra]\n')) == {
            'entry.ini: [process] node: this key is missing',
            'entry.ini: [listen] callers: address "localhost:1" is not of the '
            'form IP:PORT',
            'entry.ini: [limits] drain_timeout_s: nan is out of range; '
            'must be from 0.1 to 3600',
            'entry.ini: [limits] speed: this key is unknown',
            'entry.ini: [logs] json: "on" is not one of: yes, no',
            'entry.ini: [peers] controller-1: "flanders-a 127.0.0.1:7203 '
            'driver" is not of the form ZONE IP:PORT ROLE, where ROLE is one '
            'of: entry, controller',
            'entry.ini: [extra]: this section is unknown',
        }

    def test_doubled_key_and_section(self) -> None:
        """Report duplicates and the faults that follow them."""
        text = f'stray\n{ENTRY}level = info\n[logs]\nnoise = 1\n'
        text = text.replace('json = yes', 'json = yes\njson = no\ncolour')
        faults = faults_of(text)
        assert len(faults) == 5
        assert 'entry.ini: line 1: text before the first section' in faults
        assert 'entry.ini: [logs] json: line 24: duplicate key' in faults

    def test_secret_is_not_shown(self) -> None:
        """Keep an invalid secret out of the fault."""
        faults = faults_of(ENTRY.replace('ccddeeff', 'ccddeeffS3CRET'))
        assert len(faults) == 1
        assert 'S3CRET' not in faults[0]

    def test_one_port_twice(self) -> None:
        """Refuse two listeners with the same address."""
        faults = faults_of(ENTRY.replace(':7102', ':7101'))
        assert faults == [
            'entry.ini: [listen] admin: 127.0.0.1:7101 is also in key '
            '"callers"',
        ]

    @given(st.text(alphabet='[]=#;:, \n\tabé9\0\r\x85', max_size=60))
    @settings(derandomize=True, max_examples=300)
    def test_any_text(self, text: str) -> None:
        """Raise `InputError` and nothing else for any text."""
        with pytest.raises(InputError):
            parse_entry_settings(f'{ENTRY}\n{text}\n[no such]', 'entry.ini')


class TestControllerSettings:
    """Test the settings of a controller process."""

    def test_whole_file(self) -> None:
        """Use the health listener instead of those for callers and admins."""
        text = ENTRY.replace('callers', 'health').replace('admin', '# admin')
        parsed = parse_controller_settings(text, 'controller.ini')
        assert parsed.listen == Address('127.0.0.1', 7101)
        assert parsed.lease_ttl_s == 6


class TestLoadSettingsFile:
    """Test loading a settings file."""

    def test_missing_file(self) -> None:
        """Report the path and the exit status for bad input."""
        with pytest.raises(SettingsError, match='no-such.ini') as caught:
            load_settings_file('no-such.ini')
        assert caught.value.exit_status is ExitStatus.BAD_INPUT
