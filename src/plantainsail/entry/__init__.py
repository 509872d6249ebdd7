"""The entry daemon, which routes callers' requests to upstreams."""
