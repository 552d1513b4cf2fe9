"""Soak test by seeds: gateway processes under signals and faults of the store and servers."""
