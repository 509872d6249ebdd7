"""Stand-ins for the platform, replicas and callers of the review."""
