"""Identity of prompt prefixes, and an index of which engines presumably cache them."""
