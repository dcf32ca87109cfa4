"""Records of what callers and back ends saw, and the rules checked on them."""
