"""Forwarding of callers' requests to backend servers, and of the answers back to callers."""
