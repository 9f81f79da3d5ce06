"""Measurements on this machine; `make bench` prints them as tables. Not part of the tests."""
