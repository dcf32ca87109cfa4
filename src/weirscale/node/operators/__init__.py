"""The interface for operators, on a separate port that listens on loopback only."""
