"""Access the key-value service of the platform."""
