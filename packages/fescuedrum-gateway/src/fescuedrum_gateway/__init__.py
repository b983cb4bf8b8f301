"""Route callers to endpoints directly, configured by rows of the platform."""
