"""Stand-ins for the platform and for backend servers; not part of the installed package."""
