"""Benchmarks and the demo: real processes on loopback."""
