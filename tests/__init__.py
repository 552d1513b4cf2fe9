"""Tests of the library, the daemons and the specifications."""
