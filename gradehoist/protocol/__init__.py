"""Wire formats without I/O: parsers that turn received bytes into events, and encoders."""
