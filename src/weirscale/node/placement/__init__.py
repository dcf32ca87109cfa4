"""Placement: bring engines to the declared models, adapters and roles."""
