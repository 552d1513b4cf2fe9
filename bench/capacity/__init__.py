"""Capacity model: cost slopes measured on small fleets, extrapolated to the design size.

``python -m bench.capacity GROUP`` measures one group into ``bench/results/capacity.json``;
``python -m bench.capacity render`` writes the tables of ``docs/CAPACITY.md``.
"""
