"""Bill each answered request once."""
