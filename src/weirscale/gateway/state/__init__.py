"""What this node knows of the platform's state, and how old its proof of that is."""
