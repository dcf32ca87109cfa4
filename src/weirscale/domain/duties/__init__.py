"""Who does what: duties derived from membership, fenced by leases."""
