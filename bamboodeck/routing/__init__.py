"""Choose a version and an engine for each request."""
