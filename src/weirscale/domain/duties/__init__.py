"""Assignment of duties to nodes, derived from membership and fenced by leases."""
