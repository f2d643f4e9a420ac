"""Roll out versions in stages and withdraw the bad ones."""
