"""Requests of callers on their way to backend servers and back."""
