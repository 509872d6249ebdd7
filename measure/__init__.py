"""Measurements and simulations of the daemon, most from a seed."""
