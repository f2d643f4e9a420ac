"""Test the reading of workload files."""

from pathlib import Path

import pytest

from bamboodeck.policybench.commands import WORKLOADS
from bamboodeck.policybench.reading import WorkloadError, read_workload

SHIPPED = sorted(WORKLOADS.glob('*.ini'))


class TestReadWorkload:
    """Read valid and invalid files."""

    @pytest.mark.parametrize('path', SHIPPED, ids=lambda path: path.stem)
    def test_shipped(self, path: Path) -> None:
        """Read each shipped file."""
        assert read_workload(path).customers

    def test_all_faults(self, tmp_path: Path) -> None:
        """Report all errors of a file at once."""
        text = (WORKLOADS / 'medena.ini').read_text()
        text = text.replace('requests_per_s = 2\n', 'requests_per_s = many\n')
        text = text.replace('confidence = 0.9\n', 'confidense = 0.9\n')
        text = text.replace('quality.draft = 0.78', 'quality.draft = 7')
        path = tmp_path / 'bad.ini'
        path.write_text(f'{text}[fault x]\nkind = flood\n[extra]\n')
        with pytest.raises(WorkloadError) as caught:
            read_workload(path)
        errors = '\n'.join(caught.value.errors)
        assert '[workload] requests_per_s: "many" is not a number' in errors
        assert '[preset] confidence: missing' in errors
        assert '[preset] confidense: the key is unknown' in errors
        assert 'quality.draft: 7 is not from 0 to 1' in errors
        assert '[fault x] kind: "flood" is not one of' in errors
        assert 'section [extra] is unknown' in errors

    def test_names(self, tmp_path: Path) -> None:
        """Report references to undefined names."""
        text = (WORKLOADS / 'medena.ini').read_text()
        text = text.replace('versions = press-mid@2, ', 'versions = lost@1, ')
        fault = '[fault x]\nkind = zone_cut\nzone = atlantis\nat_s = 5\n'
        path = tmp_path / 'bad.ini'
        path.write_text(f'{text}{fault}')
        with pytest.raises(WorkloadError) as caught:
            read_workload(path)
        assert caught.value.errors == (
            '[customer Bovec] versions: "lost@1" does not exist',
            '[fault] zone: "atlantis" does not exist',
        )
