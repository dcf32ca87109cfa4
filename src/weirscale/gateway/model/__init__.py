"""Data declared by operators or registered by back ends, and look-ups on it; no I/O, no clock."""
