"""Groups of commands of the command line."""
