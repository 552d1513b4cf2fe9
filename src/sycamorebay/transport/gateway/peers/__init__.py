"""The gateway's side towards other gateways: heartbeats, loads, limits and crash reports."""
