"""At-most-once claims between nodes: holders, coordinators and changes of epoch."""
