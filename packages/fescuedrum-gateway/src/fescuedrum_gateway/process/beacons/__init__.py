"""Encode and decode the parts of beacons, one module for each part."""
