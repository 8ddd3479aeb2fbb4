"""Connect the daemon to callers, operators, endpoints, other daemons and the platform."""
