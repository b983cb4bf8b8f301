"""The commands of the bench, one module each."""
