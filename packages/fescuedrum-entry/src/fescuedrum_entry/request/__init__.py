"""Parse, route, run and trace a single caller's request."""
