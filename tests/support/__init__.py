"""Share builders, the paused clock and checks among tests."""
