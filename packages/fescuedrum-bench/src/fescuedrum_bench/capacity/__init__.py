"""Measure slopes on this machine and compute the costs at the design size."""
