"""What all nodes share and is bounded: quotas, the retry budget; whether this node is cut off."""
