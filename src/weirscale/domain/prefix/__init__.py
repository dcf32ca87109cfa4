"""Prefix identity and beliefs about which engine caches what."""
