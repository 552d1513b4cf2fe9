"""The entry daemon: its parts composed, started, watched and stopped."""
