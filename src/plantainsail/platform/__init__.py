"""Adapts the entry daemon to the platform that it is deployed on."""
