"""Generated gRPC code and the protocol files it comes from."""
