"""Plan cascades of versions and evaluate their answers."""
