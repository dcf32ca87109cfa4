"""Stand-in for a kept-KV store, which keeps KV cache blocks for engines."""
