"""Hold what lives as long as one request."""
