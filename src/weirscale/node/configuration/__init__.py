"""Configuration on a node: applying a file, reading the store, spreading it between nodes."""
