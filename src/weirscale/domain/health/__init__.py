"""Health of back ends: circuits, slow return, quarantine."""
