"""Objects that live as long as one configuration version."""
