"""The gRPC services and clients between daemons."""
