"""The gateway daemon: forwards requests by routes, with load shared among all daemons."""
