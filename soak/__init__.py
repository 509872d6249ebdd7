"""A soak test of entry daemons on one machine, with random faults."""
