"""Wire formats as state machines without I/O: bytes or documents in, events out."""
