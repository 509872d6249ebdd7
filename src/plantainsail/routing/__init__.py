"""Decisions of routed requests: no input, no output, no clock."""
