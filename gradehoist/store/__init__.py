"""Local storage: the SQLite coordination store, atomic file replacement, folder locks and log output."""
