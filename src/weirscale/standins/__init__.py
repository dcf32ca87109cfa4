"""Stand-ins for external systems, used in tests, demos and experiments."""
