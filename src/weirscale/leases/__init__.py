"""The task that holds a fenced lease on a duty; used by all programs that have such duties."""
