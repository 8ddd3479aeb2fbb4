"""Define typed records and messages and their encoding."""
