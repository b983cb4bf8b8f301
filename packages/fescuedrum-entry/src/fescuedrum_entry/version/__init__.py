"""Hold what lives as long as one configuration version."""
