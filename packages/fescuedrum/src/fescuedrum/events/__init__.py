"""Hold the closed vocabulary of what processes log, by what the events are about."""
