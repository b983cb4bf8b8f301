"""Change a rank group's expert map so that no step runs with two maps."""
