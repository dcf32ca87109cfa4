"""Health of back ends: circuit breakers, slow start, quarantine."""
