"""Tasks of a running node; each owns its sockets and state and communicates by messages."""
