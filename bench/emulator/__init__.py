"""Discrete-event simulation of many gateway daemons' placement code under virtual time."""
