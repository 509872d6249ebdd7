"""A serving layer for generations of unknown length on busy engines."""
