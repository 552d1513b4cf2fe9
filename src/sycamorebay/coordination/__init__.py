"""Coordination layer: the decisions, without sockets, tasks, clock or global randomness.

Classes take events with the time in seconds and a seeded random source, and return actions.
"""
