"""Coordinate daemons: leases, configuration, capacity, maintenance and task placement."""
