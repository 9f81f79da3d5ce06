"""One governor on the platform: it speaks the line protocol, in one process."""
