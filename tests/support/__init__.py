"""Provide builders, simulations and checks that several tests use."""
