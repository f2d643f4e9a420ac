"""Implement HTTP/1.1 servers for callers and a client for peers."""
