"""Run real gateway processes under random faults and check what callers get.

The platform's store, the endpoints, callers and operators are stand-ins of this
package; between each process and what it depends on stands a proxy that delays, resets,
cuts or silences connections. All that is random follows from one seed.
"""
