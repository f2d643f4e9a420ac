"""Stand-in for a model engine."""
