"""Plan which rank holds which expert, and when a new expert map is worthwhile."""
