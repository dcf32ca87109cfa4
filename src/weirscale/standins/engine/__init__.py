"""Stand-in for a model engine: a model with no I/O, an in-process port and an HTTP app."""
