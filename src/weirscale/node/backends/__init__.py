"""Directory of back ends: their declarations, health, load reports and ports."""
