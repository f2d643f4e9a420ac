"""Entry process: serves callers on an entry host."""
