"""Environment file of behave. It has no hooks, since scenarios share nothing."""
