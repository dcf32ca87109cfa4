"""Load experiment files and run them on virtual fleets."""
