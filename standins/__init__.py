"""Stand in for the platform and for endpoints in tests, the demo and measurements."""
