"""Run real gateway processes under random faults and check what callers get.

This package simulates the platform's store, the endpoints, callers and operators. A
proxy between each process and its dependencies delays, resets, closes or silences
connections. Every random choice follows from one seed.
"""
