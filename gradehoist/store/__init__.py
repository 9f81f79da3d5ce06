"""Files that survive: an old state or a new one, never a part."""
