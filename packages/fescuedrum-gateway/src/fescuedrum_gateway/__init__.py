"""Route callers to endpoints directly, as configured in the platform's store."""
