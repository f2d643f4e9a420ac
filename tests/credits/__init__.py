"""Test the ledger, prices and caps of provider credits."""
