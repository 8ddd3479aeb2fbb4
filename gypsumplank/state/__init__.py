"""Keep and read what must last, through ports with an in-memory variant each."""
