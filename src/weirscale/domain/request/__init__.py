"""The request aggregate: what a caller asked, what became of it, when it may be tried again."""
