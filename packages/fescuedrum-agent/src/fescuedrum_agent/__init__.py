"""Run beside an endpoint as the last gate before it."""
