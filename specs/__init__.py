"""Specifications for the model checker; never installed with the package."""
