"""Keep the entry's configuration at its newest version."""
