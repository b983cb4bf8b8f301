"""The operators' API and console, with sign-in and roles."""
