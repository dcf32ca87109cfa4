"""Reports of experiments: figures, page and comparison."""
