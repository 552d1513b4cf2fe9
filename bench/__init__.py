"""Benchmarks, soak tests, simulations and the demo."""
