"""The entry daemon: connects its parts, runs them and serves its operators."""
