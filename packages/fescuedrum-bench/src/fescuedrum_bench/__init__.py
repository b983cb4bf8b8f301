"""Stand-ins, site launcher, demo and load for fescuedrum."""
