"""The gateway's side towards backend servers: connections, sends and probes."""
