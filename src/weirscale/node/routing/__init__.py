"""The tasks that choose a back end for each attempt, and what they keep to explain it."""
