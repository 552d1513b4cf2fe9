"""Client of the platform's key-value store, and the configuration document kept in it."""
