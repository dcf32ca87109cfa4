"""Many seeds with random faults."""
