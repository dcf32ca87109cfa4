"""Reports of experiments."""
