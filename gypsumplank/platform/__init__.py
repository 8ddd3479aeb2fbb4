"""Adapt the users' platform API to the product's ports, without any decision logic."""
