"""Test the operators' configuration."""
