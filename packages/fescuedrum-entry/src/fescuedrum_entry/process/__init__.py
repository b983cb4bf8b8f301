"""Objects that live as long as the entry process."""
