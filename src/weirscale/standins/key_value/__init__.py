"""Stand-in for the platform's key-value service, shaped as the etcd v3 JSON gateway."""
