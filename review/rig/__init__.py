"""Stand-ins, gateway processes and callers of the review's second part."""
