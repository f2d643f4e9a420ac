"""Run non-idempotent requests at most once."""
