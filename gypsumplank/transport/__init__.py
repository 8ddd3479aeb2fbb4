"""Carry bytes between the daemon and callers, operators, endpoints, peers and the platform."""
