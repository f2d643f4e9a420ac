"""Define the faults reported for INI text."""

from dataclasses import dataclass

from bamboodeck.errors import InputError


@dataclass(frozen=True, slots=True, order=True)
class Fault:
    """Describe a fault; `section` and `key` are empty if none applies."""

    source: str
    section: str
    key: str
    message: str

    def __str__(self) -> str:
        """Format the location and the message on one line."""
        location = self.source
        if self.section:
            location = f'{location}: [{self.section}]'
        if self.key:
            location = f'{location} {self.key}'
        return f'{location}: {self.message}'


class FaultsError(InputError):
    """Signal all faults of an INI text."""

    def __init__(self, faults: tuple[Fault, ...]) -> None:
        """Use the faults, one per line, as the message."""
        super().__init__('\n'.join(str(fault) for fault in faults))
        self.faults = faults


class SettingsError(FaultsError):
    """Signal all faults of a settings file."""
