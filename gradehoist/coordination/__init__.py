"""Coordination of the processes of one fleet: store, sessions, failure detection, fencing. Free of I/O."""
