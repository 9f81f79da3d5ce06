"""Measurements on the local machine. `make bench` prints them as tables; they are not part of the tests."""
