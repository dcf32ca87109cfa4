"""Which nodes are alive: failure detection and dissemination rules."""
