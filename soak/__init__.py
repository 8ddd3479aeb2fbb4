"""Try the system with seeded faults and check its promises from outside."""
