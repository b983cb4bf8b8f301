"""Stand-ins, site launcher, demo, load generator and experiments for fescuedrum."""
