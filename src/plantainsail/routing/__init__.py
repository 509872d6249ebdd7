"""Makes decisions for routed requests, without I/O or a clock."""
