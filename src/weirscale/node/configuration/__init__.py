"""Configuration on a node: applying a file, reading the store, distribution between nodes."""
