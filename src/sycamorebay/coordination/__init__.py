"""Coordination layer: decisions, without sockets, tasks, clocks or global randomness.

Event handlers take the current time in seconds, use a seeded random source and return actions for
the transport layer to carry out.
"""
