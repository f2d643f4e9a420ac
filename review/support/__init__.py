"""Stand-ins of callers, engines and the platform's store; no dependencies."""
