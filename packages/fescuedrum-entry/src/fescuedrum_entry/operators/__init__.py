"""Serve operators: their sign-in, the API of the configuration and the console."""
