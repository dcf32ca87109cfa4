"""Assignment of duties to nodes, as seen by this node."""
