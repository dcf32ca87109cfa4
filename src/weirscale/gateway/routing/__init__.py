"""Choice of the back end for a request, by load, health, cached prefixes and estimated latency."""
