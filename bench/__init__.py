"""Benchmark the system against simpler baselines."""
