"""Decide what runs where and when."""
