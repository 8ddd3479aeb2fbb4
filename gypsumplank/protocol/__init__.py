"""Define typed records and messages and how they are encoded."""
