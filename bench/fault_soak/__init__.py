"""A soak of the real program: node processes under faults, judged by what others saw of them."""
