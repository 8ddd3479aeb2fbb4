"""Start a small fleet on loopback and show the whole path."""
