"""Define all events that processes log, grouped by subject."""
