"""Start a small fleet on loopback and show the main operations end to end."""
