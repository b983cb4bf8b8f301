"""The operators' web console: forms that edit the configuration document."""
