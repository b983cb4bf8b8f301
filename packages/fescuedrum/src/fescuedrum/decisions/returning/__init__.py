"""Decide when a request is sent again and when a refused caller returns."""
