"""Network paths between this node and the back ends.

A node may lose its paths to back ends that other nodes still reach. It then opens its connections
through other nodes, which relay the bytes. All decisions about a request stay with the node that
received it.
"""
