"""Asyncio code that connects the decision logic to I/O."""
