"""Stand-in for the platform's machine list, which lags behind the actual state."""
