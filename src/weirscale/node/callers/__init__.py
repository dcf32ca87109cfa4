"""What callers talk to: an ASGI application over the node's tasks."""
