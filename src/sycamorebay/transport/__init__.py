"""Transport layer: tasks that own sockets and talk by messages; no policy."""
