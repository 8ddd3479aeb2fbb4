"""Generate the operators' reference pages from the code that they describe."""
