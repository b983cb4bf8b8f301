"""Change a rank group's expert map so that no step ever runs under two maps."""
