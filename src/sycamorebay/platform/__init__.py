"""Adapter to the users' platform: settings, store, entries of servers, and marks of messages.

It only translates. Nothing outside this folder knows the platform's names.
"""
