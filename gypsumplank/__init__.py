"""Manage fleet capacity and maintenance, and carry requests from callers to endpoints."""

__version__ = "0.1.0"
