"""Stand-in for the platform's lagging list of machines."""
