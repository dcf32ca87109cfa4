"""Stand-in for an inference engine: a model without I/O, an in-process port and an HTTP app."""
