"""Parse, change, store and serve the operators' configuration."""
