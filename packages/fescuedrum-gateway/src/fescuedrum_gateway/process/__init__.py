"""Contain the code whose state lasts as long as the process."""
