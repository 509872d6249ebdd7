"""Tickets, executors and witnesses for calls run at most once."""
