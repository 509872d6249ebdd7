"""The entry daemon: routed requests from callers to upstreams."""
