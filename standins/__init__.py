"""Stand-ins for the platform and for backend servers; never installed with the package."""
