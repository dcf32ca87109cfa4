"""Origins of streams: which service version began a stream that a caller takes up at any node."""
