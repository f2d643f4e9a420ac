"""Stand in for the users' platform: its store and its engines."""
