"""Test the decoding of the platform's settings file."""

import pytest

from bamboodeck.exit_status import ExitStatus
from bamboodeck.http.messages import Address
from bamboodeck.platform.host_settings import (
    HostSettingsError,
    parse_host_settings,
)

TEXT = """node_name=front-gent-a-1
role=gateway
ip=10.1.0.40
zone=gent-a
region=flanders
zones.gent-a=flanders
zones.namur-a=wallonia
listen.front=10.1.0.40:8227
listen.ready=10.1.0.40:8220
internal_ports=7340,7355
limits.max_fds=4100
limits.memory_mb=300
heartbeat_ms=1200
bounds.stability_window_ms=4000
bounds.budget_ratio=0.9
bounds.session_s=5
platform.address=10.200.1.7:8223
something.new=whatever
"""


class TestSettings:
    """Decode the settings file of a host."""

    def test_fields(self) -> None:
        """Convert names and units."""
        settings = parse_host_settings(TEXT)
        assert settings.host == 'front-gent-a-1'
        assert settings.callers_listen == Address('10.1.0.40', 8227)
        assert settings.peer_listen == Address('10.1.0.40', 7340)
        assert settings.metrics_listen == Address('10.1.0.40', 7355)
        assert settings.regions_by_zone['namur-a'] == 'wallonia'
        assert settings.bounds.heartbeat_s == 1.2
        assert settings.bounds.stability_s == 4.0
        assert settings.bounds.session_s == 5.0

    def test_metrics_port(self) -> None:
        """Prefer the metrics port given by the environment."""
        settings = parse_host_settings(TEXT, '9464')
        assert settings.metrics_listen == Address('10.1.0.40', 9464)

    def test_every_fault(self) -> None:
        """Report every faulty key, with the exit status for bad input."""
        text = TEXT.replace('8227', 'x').replace('zone=gent-a\n', '\n', 1)
        text = text.replace('7340,7355', '9,3').replace('0.9', 'much')
        with pytest.raises(HostSettingsError) as caught:
            parse_host_settings(text)
        message = str(caught.value)
        for key in (
            'listen.front',
            'zone',
            'internal_ports',
            'bounds.budget_ratio',
        ):
            assert f'{key}:' in message
        assert caught.value.exit_status is ExitStatus.BAD_INPUT

    def test_empty(self) -> None:
        """Report missing keys."""
        with pytest.raises(HostSettingsError, match='platform.address'):
            parse_host_settings('')
