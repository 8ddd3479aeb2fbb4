"""Measure the system against its own baselines."""
