"""Streaming of a generation to its caller, with resume by position."""
