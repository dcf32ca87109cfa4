"""What this node knows of the platform's state, and what follows from the age of that knowledge."""
