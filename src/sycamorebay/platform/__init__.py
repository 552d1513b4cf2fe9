"""Adapter to the users' platform: settings, store, server entries and headers.

It only translates. No code outside this package uses the platform's wire names.
"""
