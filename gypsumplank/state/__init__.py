"""Store durable data through interfaces that each have an in-memory implementation."""
