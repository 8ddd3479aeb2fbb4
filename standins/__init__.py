"""Simulate the platform, endpoints, agents and workers for tests, the demo and benchmarks."""
