"""Accept versions of the configuration, spread them, and keep them in force."""
