"""Stand-ins for systems outside, for tests, demos and experiments."""
