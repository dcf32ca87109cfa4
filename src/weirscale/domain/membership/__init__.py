"""Membership of the fleet: failure detection and dissemination of updates."""
