"""Run the system under seeded faults and check its guarantees as an external observer."""
