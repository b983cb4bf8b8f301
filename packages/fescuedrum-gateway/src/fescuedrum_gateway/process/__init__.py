"""Hold what lives as long as the process."""
