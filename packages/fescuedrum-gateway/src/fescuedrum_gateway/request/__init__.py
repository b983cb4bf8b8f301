"""Contain the code whose state lasts as long as one request."""
