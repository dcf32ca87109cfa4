"""What operators ask a node, on a port of its own that listens on loopback only."""
