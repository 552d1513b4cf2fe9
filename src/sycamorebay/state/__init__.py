"""State layer: the environment's document and the observed state of backend servers.

It consists of plain ``attrs`` classes and pure checks, without I/O, clocks or global randomness.
"""
