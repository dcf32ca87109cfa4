"""Duties of this node, and the task that holds a fenced lease on one."""
