"""Experiment files, virtual fleets and the run of one experiment."""
