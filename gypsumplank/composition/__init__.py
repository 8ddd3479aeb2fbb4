"""Assemble groups of components for the daemons, each from explicit arguments."""
