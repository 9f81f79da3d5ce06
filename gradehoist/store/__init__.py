"""Storage on the local disk: the SQLite coordination store, atomic files, folder locks, log output."""
