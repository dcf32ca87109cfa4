"""Records of what callers and back ends observed, and the rules checked on these records."""
