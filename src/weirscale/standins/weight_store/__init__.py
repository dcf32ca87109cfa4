"""Stand-in for the platform's weight store."""
