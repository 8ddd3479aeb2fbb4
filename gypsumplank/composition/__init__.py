"""Wire groups of parts for the daemon, each from explicit arguments."""
