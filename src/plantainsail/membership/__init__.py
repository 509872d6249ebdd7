"""Other daemons: liveness, heartbeat contacts and leaving marks."""
