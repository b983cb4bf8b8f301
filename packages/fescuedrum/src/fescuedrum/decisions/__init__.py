"""Decide under load; nothing in this package imports I/O."""
