"""The task that brings engines to what the configuration declares."""
