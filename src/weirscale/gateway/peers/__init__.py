"""Discovery of the other nodes, and the datagrams that nodes exchange."""
