"""Decisions under load, such as admission and routing, free of I/O."""
