"""Serve the console: forms whose only output is one validated document."""
