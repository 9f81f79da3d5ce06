"""The mover: carries moves between cells over HTTP, keeping each record before it acts on it."""
