"""State layer: the environment's document and what an entry knows of others.

Plain ``attrs`` classes and pure checks; no I/O, clock or randomness.
"""
