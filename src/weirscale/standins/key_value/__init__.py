"""Stand-in for the platform's key-value service, with the interface of the etcd v3 JSON gateway."""
