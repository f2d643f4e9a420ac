"""Test the policy experiments."""
