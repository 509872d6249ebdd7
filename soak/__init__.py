"""A randomized fault soak of real entry daemons on one machine."""
