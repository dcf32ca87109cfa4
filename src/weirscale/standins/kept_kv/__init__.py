"""Stand-in for a store of kept KV cache."""
