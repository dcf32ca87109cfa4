"""At-most-once claims: a quorum ledger of idempotency keys."""
