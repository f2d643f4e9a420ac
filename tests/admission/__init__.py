"""Test admission, rate limits, retries and poison requests."""
