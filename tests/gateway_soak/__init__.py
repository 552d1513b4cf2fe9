"""A seeded soak: real gateways under signals and faults of store and servers, seen from outside."""
