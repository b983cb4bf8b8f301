"""Take the place of outside systems, each behind its published protocol."""
