"""Issue and verify session tokens."""
