"""Measure slopes on this machine and work out the size to design for from them."""
