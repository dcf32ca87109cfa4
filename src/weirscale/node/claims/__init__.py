"""At-most-once claims of idempotency keys: holders, coordinators and epoch changes."""
