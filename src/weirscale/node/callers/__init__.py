"""The interface for callers: an ASGI application on top of the node's tasks."""
