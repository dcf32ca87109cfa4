"""Who the other nodes are and the datagrams that nodes exchange."""
