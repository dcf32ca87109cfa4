"""Choice of the engine for a request, by a policy behind a common interface."""
