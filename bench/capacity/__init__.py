"""Measured slopes of each part, and the design size worked out from them.

``python -m bench.capacity GROUP`` measures one group into ``bench/results/capacity.json``;
``python -m bench.capacity render`` writes the tables of ``docs/CAPACITY.md``.
"""
