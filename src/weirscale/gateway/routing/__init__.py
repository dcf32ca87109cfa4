"""Which back end gets a request: loads, health, cached prefixes, estimates, and the choice."""
