"""The task that holds a fenced lease on a duty, for whichever program has the duty."""
