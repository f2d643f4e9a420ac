"""Run policy experiments on a virtual clock."""
