"""Transport layer: tasks that own sockets and exchange messages; it contains no policy."""
