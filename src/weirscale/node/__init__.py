"""Tasks of a running node; each owns its sockets and its state and talks by messages."""
