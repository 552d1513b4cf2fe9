"""Keyed operations: their ranges, their sends, and inquiries about them."""
