"""Read, check and describe settings and the configuration document."""
