"""Read the settings of a process from INI text."""
